package event

import "github.com/rs/zerolog"

// Events of nodes, 7000 to 7199. Those named counts_* are about reports of usage to the
// platform, those named pool_* about orders of targets.
var (
	RequestDone        = define(7000, "request_done", zerolog.InfoLevel, "A request has ended; the line gives its outcome, the targets it was sent to and the figures behind the choice of target.", "none")
	AttemptEnded       = define(7001, "attempt_ended", zerolog.WarnLevel, "An attempt at a target ended without a complete answer.", "Check the target if this recurs.")
	ConfigurationTaken = define(7010, "configuration_taken", zerolog.InfoLevel, "The node applied a newer configuration.", "none")
	ConfigurationBad   = define(7011, "configuration_bad", zerolog.ErrorLevel, "A configuration is invalid; the last valid one stays in force.", "Correct the field that the line names.")
	TargetsTaken       = define(7012, "targets_taken", zerolog.InfoLevel, "The node applied a changed list of targets.", "none")
	EntryBad           = define(7013, "entry_bad", zerolog.WarnLevel, "An entry in the list of targets cannot be decoded into a usable target.", "Check the program that writes the entry if this recurs.")
	StoreLost          = define(7014, "store_lost", zerolog.WarnLevel, "The store does not answer; the node keeps the configuration and the targets that it has.", "Check the store and the network of the host.")
	StoreBack          = define(7015, "store_back", zerolog.InfoLevel, "The store answers again.", "none")
	SnapshotTaken      = define(7016, "snapshot_taken", zerolog.InfoLevel, "The node loaded a newer configuration or list of targets from a peer.", "none")
	SnapshotFailed     = define(7017, "snapshot_failed", zerolog.WarnLevel, "A newer configuration or list of targets could not be loaded from a peer.", "Check the network of the host if this recurs.")
	PeerFound          = define(7018, "peer_found", zerolog.InfoLevel, "A heartbeat of a new or restarted host arrived.", "none")
	PeerLost           = define(7019, "peer_lost", zerolog.WarnLevel, "No heartbeat of a host arrived within the timeout.", "Check the host.")
	DutiesTaken        = define(7020, "duties_taken", zerolog.InfoLevel, "This host was elected to hold the duties: reporting usage and ordering targets.", "none")
	DutiesLost         = define(7021, "duties_lost", zerolog.WarnLevel, "This host no longer holds the duties; the line says why.", "none")
	DutiesFailed       = define(7022, "duties_failed", zerolog.WarnLevel, "The record of which host holds the duties could not be decoded or written.", "Check the store if this recurs.")
	CountsReported     = define(7023, "counts_reported", zerolog.InfoLevel, "A usage window was reported.", "none")
	CountsFailed       = define(7024, "counts_failed", zerolog.WarnLevel, "A usage window could not be reported; the host retries.", "Check the platform's API if this recurs.")
	PoolOrdered        = define(7025, "pool_ordered", zerolog.InfoLevel, "The host ordered a number of targets for a service in an availability zone.", "none")
	PoolRefused        = define(7026, "pool_refused", zerolog.WarnLevel, "An order of targets was refused or not answered.", "none")
	NodeStarted        = define(7030, "node_started", zerolog.InfoLevel, "The node accepts connections of callers.", "none")
	NodeStopping       = define(7031, "node_stopping", zerolog.InfoLevel, "The node was asked to stop and finishes the requests in progress.", "none")
	NodeStopped        = define(7032, "node_stopped", zerolog.InfoLevel, "The node has ended.", "none")
	SettingsReread     = define(7033, "settings_reread", zerolog.InfoLevel, "The settings file was reloaded, after a signal or because it has changed.", "If the line has an error, correct the file; the last valid settings stay in force.")
	HostSuspended      = define(7034, "host_suspended", zerolog.WarnLevel, "The process did not run for some time, for instance because the host was suspended; the node reads the configuration, the targets and the holder of the duties again.", "none")
	SettingsTaken      = define(7036, "settings_taken", zerolog.InfoLevel, "Changed settings were applied.", "Restart the node to apply the fields listed under at_next_start.")
	StreamOrigin       = define(7037, "stream_origin", zerolog.InfoLevel, "A caller takes up a stream that another host began while targets of several software versions serve; the line says how the version was found.", "none")
	TargetLeaves       = define(7038, "target_leaves", zerolog.InfoLevel, "A target said in an answer that it leaves; this host sends it no further requests.", "none")
	TargetPaused       = define(7039, "target_paused", zerolog.InfoLevel, "A target turned a request away and asked this host to leave it alone for some time.", "Look for an overload if many targets do.")
	LinesDropped       = define(7035, "lines_dropped", zerolog.WarnLevel, "Log lines were dropped because the log output was too slow.", "none")
)
