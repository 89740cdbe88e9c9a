package event

import "github.com/rs/zerolog"

// Events of every process, 1000 to 1099.
var (
	ProcessStarted        = define(1000, "process_started", zerolog.InfoLevel, "A daemon has started and listens.", "none")
	ProcessStopping       = define(1001, "process_stopping", zerolog.InfoLevel, "A daemon has begun its graceful shutdown.", "none")
	ProcessStopped        = define(1002, "process_stopped", zerolog.InfoLevel, "A daemon has ended; the line says what was cut, if anything.", "none")
	InvariantViolated     = define(1003, "invariant_violated", zerolog.ErrorLevel, "A condition that must always hold did not.", "Report it with the log around it.")
	StoreStateChanged     = define(1004, "store_state_changed", zerolog.WarnLevel, "The object API became reachable or unreachable.", "See docs/OPERATIONS.md, platform outage.")
	ConfigurationInForce  = define(1006, "configuration_in_force", zerolog.InfoLevel, "A process put a newer revision of the configuration in force.", "none")
	CertificateReread     = define(1007, "certificate_reread", zerolog.InfoLevel, "The certificate files of a server, which the line names, have changed and were read again; new connections use them.", "none")
	CertificateUnreadable = define(1008, "certificate_unreadable", zerolog.WarnLevel, "The certificate files of a server have changed and cannot be used as they are; the earlier certificate stays in use.", "None in the middle of a rotation; else correct the files that the line names.")
	ShutdownCutRequest    = define(1005, "shutdown_cut_request", zerolog.ErrorLevel, "A second signal ended the process while requests ran.", "none")
)
