package event

import "github.com/rs/zerolog"

// Events of the controllers and of the links, 3000 to 3199.
var (
	LinkOpened                 = define(3000, "link_opened", zerolog.DebugLevel, "A link to another process was opened.", "none")
	LinkClosed                 = define(3001, "link_closed", zerolog.DebugLevel, "A link to another process ended.", "none")
	LinkDialFailed             = define(3002, "link_dial_failed", zerolog.DebugLevel, "A link to another process could not be opened.", "Check the process if this persists.")
	LinkPeerRefused            = define(3003, "link_peer_refused", zerolog.WarnLevel, "A link from another process was refused; the line says why.", "Compare certificates and versions.")
	LinkCertificatesReread     = define(3004, "link_certificates_reread", zerolog.InfoLevel, "The certificate files of the links have changed and were reloaded; new links use them.", "none")
	LinkCertificatesUnreadable = define(3005, "link_certificates_unreadable", zerolog.WarnLevel, "The certificate files of the links have changed but cannot be loaded; the earlier certificates stay in use.", "None in the middle of a rotation; otherwise correct the files that the line names.")
	LinkIdentityRefused        = define(3006, "link_identity_refused", zerolog.WarnLevel, "A process claimed a host or a role that its certificate does not include; its link was refused.", "Issue the right certificate to the process, or find out who uses the one that it presented.")
	ConfigurationFetchFailed   = define(3011, "configuration_fetch_failed", zerolog.WarnLevel, "A newer revision of the configuration exists but could not be fetched; the fetch is retried.", "See docs/OPERATIONS.md, platform outage.")
	GrantorWaits               = define(3020, "grantor_waits", zerolog.DebugLevel, "A controller became the grantor of an organisation's limits and waits for the grants of earlier grantors to expire.", "none")
	CordonSpread               = define(3030, "cordon_spread", zerolog.InfoLevel, "A cordon of a target, or its removal, was sent to the gateways; the line names those that did not answer.", "none")
	TargetPollFailed           = define(3040, "target_poll_failed", zerolog.DebugLevel, "A target did not answer a poll for its load report.", "none")
	HostListFailed             = define(3041, "host_list_failed", zerolog.WarnLevel, "The list of hosts could not be read from the platform.", "See docs/OPERATIONS.md, platform outage.")
	OrdersLeftOpen             = define(3070, "orders_left_open", zerolog.WarnLevel, "A controller stopped before the outcome of some orders was known; they stay in the record of open orders.", "None, unless an order stays open: see docs/OPERATIONS.md, stuck open order.")
	UsageNotReported           = define(3061, "usage_not_reported", zerolog.WarnLevel, "A usage window could not be frozen or reported; the controller retries.", "See docs/OPERATIONS.md, platform outage.")
	UsageNotStored             = define(3060, "usage_not_stored", zerolog.WarnLevel, "Usage counters that a gateway pushed could not be written to the object API; the gateway pushes them again.", "See docs/OPERATIONS.md, platform outage.")
	UplinkNoController         = define(3050, "uplink_no_controller", zerolog.WarnLevel, "A gateway reaches no controller and goes on serving within its guaranteed shares of the organisations' limits, which need no grant.", "Check the controllers.")
)
