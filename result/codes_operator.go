package result

import "net/http"

// Codes of operators' commands, 7000 to 7099.
var (
	NoController = define(7000, "no_controller", http.StatusServiceUnavailable, exitFailure, "None of the controllers in the settings could be reached.", "Check the addresses and certificates, or wait for a host to come up.")
	NotInForce   = define(7001, "not_in_force", http.StatusGatewayTimeout, exitTimeout, "Not every live host has applied the accepted revision yet.", "Check the hosts listed; config wait repeats the check.")
	NoSuchKey    = define(7002, "no_such_key", http.StatusNotFound, exitNotFound, "No key has the fingerprint.", "List the keys with key list.")
	NoSuchFile   = define(7003, "no_such_file", http.StatusBadRequest, exitUsage, "An input file cannot be read.", "Check the path.")
	NoSuchObject = define(7004, "no_such_object", http.StatusNotFound, exitNotFound, "No host, target or request has the name.", "List them with status.")

	ContractExists = define(7005, "contract_exists", http.StatusConflict, exitConflict, "A contract exists for the organisation.", "Change it with contract set or contract apply.")
	TopicNotServed = define(7006, "topic_not_served", http.StatusServiceUnavailable, exitFailure, "None of the controllers in the settings serves the status topic.", "Compare the program versions of the controllers.")
)
