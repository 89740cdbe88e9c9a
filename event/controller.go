package event

import "github.com/rs/zerolog"

// Events of the controllers and of the links, 3000 to 3199.
var (
	LinkOpened                 = define(3000, "link_opened", zerolog.DebugLevel, "A link to another process was opened.", "none")
	LinkClosed                 = define(3001, "link_closed", zerolog.DebugLevel, "A link to another process ended.", "none")
	LinkDialFailed             = define(3002, "link_dial_failed", zerolog.DebugLevel, "A link to another process could not be opened.", "Check the process when it persists.")
	LinkPeerRefused            = define(3003, "link_peer_refused", zerolog.WarnLevel, "A process was refused a link; the line says why.", "Compare certificates and versions.")
	LinkCertificatesReread     = define(3004, "link_certificates_reread", zerolog.InfoLevel, "The certificate files have changed and were read again; new links use them.", "none")
	LinkCertificatesUnreadable = define(3005, "link_certificates_unreadable", zerolog.WarnLevel, "The certificate files have changed and cannot be used as they are; the earlier certificates stay in use.", "None in the middle of a rotation; else correct the files that the line names.")
	LinkIdentityRefused        = define(3006, "link_identity_refused", zerolog.WarnLevel, "A process claimed a host or a role that its certificate does not give it, and got no link.", "Issue it the right certificate, or find out who holds the one that was shown.")
	ConfigurationBehind        = define(3011, "configuration_fetch_failed", zerolog.WarnLevel, "A newer revision is known but could not be fetched; it is tried again.", "See docs/OPERATIONS.md, platform outage.")
	GrantorChanged             = define(3020, "grantor_waits", zerolog.DebugLevel, "A controller became grantor of an organisation and waits for earlier grants to end.", "none")
	CordonSpread               = define(3030, "cordon_spread", zerolog.InfoLevel, "A cordon or its lift was sent to the gateways; the line names those that did not answer.", "none")
	TargetPollFailed           = define(3040, "target_poll_failed", zerolog.DebugLevel, "A target did not answer with its report.", "none")
	HostListFailed             = define(3041, "host_list_failed", zerolog.WarnLevel, "The list of hosts could not be read.", "See docs/OPERATIONS.md, platform outage.")
	OrdersLeftOpen             = define(3070, "orders_left_open", zerolog.WarnLevel, "A controller ended with orders whose outcome is open; they stay in the record of open orders.", "None, unless an order stays open: see docs/OPERATIONS.md, stuck open order.")
	UsageNotReported           = define(3061, "usage_not_reported", zerolog.WarnLevel, "A usage window could not be frozen or reported yet; it is tried again.", "See docs/OPERATIONS.md, platform outage.")
	UsageNotStored             = define(3060, "usage_not_stored", zerolog.WarnLevel, "Counters that a gateway pushed are not in the object API yet; it pushes them again.", "See docs/OPERATIONS.md, platform outage.")
	UplinkControllersGone      = define(3050, "uplink_no_controller", zerolog.WarnLevel, "A gateway reaches no controller and serves on with its safe shares.", "Check the controllers.")
)
