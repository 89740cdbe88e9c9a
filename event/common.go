package event

import "github.com/rs/zerolog"

// Events that every process can log, 1000 to 1099.
var (
	ProcessStarted        = define(1000, "process_started", zerolog.InfoLevel, "A daemon has started and accepts connections.", "none")
	ProcessStopping       = define(1001, "process_stopping", zerolog.InfoLevel, "A daemon has begun its graceful shutdown.", "none")
	ProcessStopped        = define(1002, "process_stopped", zerolog.InfoLevel, "A daemon has ended; a gateway's line counts the requests that were cut off in the field cut.", "none")
	InvariantViolated     = define(1003, "invariant_violated", zerolog.ErrorLevel, "An invariant does not hold.", "Report it with the log around it.")
	StoreStateChanged     = define(1004, "store_state_changed", zerolog.WarnLevel, "The object API became reachable or unreachable.", "See docs/OPERATIONS.md, platform outage.")
	ConfigurationInForce  = define(1006, "configuration_in_force", zerolog.InfoLevel, "A process applied a newer revision of the configuration.", "none")
	CertificateReread     = define(1007, "certificate_reread", zerolog.InfoLevel, "The certificate files of a server, which the line names, have changed and were reloaded; new connections use them.", "none")
	CertificateUnreadable = define(1008, "certificate_unreadable", zerolog.WarnLevel, "The certificate files of a server have changed but cannot be loaded; the earlier certificate stays in use.", "None in the middle of a rotation; otherwise correct the files that the line names.")
	IntakeRefused         = define(1009, "intake_refused", zerolog.WarnLevel, "Connections at an address were refused, or ended before their requests were complete, since the process can hold no more; the line counts them since the line before.", "See docs/OPERATIONS.md, clients that press too hard.")
	ServerError           = define(1010, "server_error", zerolog.WarnLevel, "An HTTP server reports an error of a connection, such as a failed TLS handshake; at most ten lines a second are logged.", "Check the clients if this recurs.")
	ShutdownCutRequest    = define(1005, "shutdown_cut_request", zerolog.ErrorLevel, "A second signal ended the process while requests were running.", "none")
)
