package result

import "net/http"

// Exit codes of commands. Code 0 is success.
const (
	exitFailure  = 1 // the operation failed
	exitUsage    = 2 // bad command line, settings or input
	exitConflict = 3 // another writer won the race
	exitTimeout  = 4 // the outcome was not known within the timeout
	exitNotFound = 5 // the named object does not exist
)

// General codes, 1000 to 1099.
var (
	Internal     = define(1000, "internal", http.StatusInternalServerError, exitFailure, "An error that the program does not expect.", "Report it with the log lines around it.")
	BadSettings  = define(1001, "bad_settings", http.StatusInternalServerError, exitUsage, "A settings file has an unknown, missing or invalid field.", "Correct the named field.")
	AddressInUse = define(1002, "address_in_use", http.StatusInternalServerError, exitUsage, "The process cannot listen on an address of its settings.", "Free the address or change the named field.")
	BadUsage     = define(1003, "bad_usage", http.StatusBadRequest, exitUsage, "The command line is wrong.", "See --help.")
)

// Codes of the platform's object API, 5000 to 5099.
var (
	StoreUnavailable = define(5000, "store_unavailable", http.StatusServiceUnavailable, exitFailure, "The object API cannot be reached; nothing took effect.", "Retry after the time given.")
	StoreUnknown     = define(5001, "store_unknown", http.StatusServiceUnavailable, exitTimeout, "The object API did not answer; the update may have taken effect.", "Read the object back before deciding.")
	StoreConflict    = define(5002, "store_conflict", http.StatusConflict, exitConflict, "Another writer changed the object first.", "Read the new version and decide again.")
	StoreNotFound    = define(5003, "store_not_found", http.StatusNotFound, exitNotFound, "The object does not exist.", "Check the name.")
	StoreTooLarge    = define(5004, "store_too_large", http.StatusRequestEntityTooLarge, exitUsage, "A value exceeds what the object API holds.", "Split the value.")
)

// Codes of contracts and configuration, 6000 to 6099.
var (
	BadConfiguration = define(6000, "bad_configuration", http.StatusBadRequest, exitUsage, "A contract or the fleet description is invalid.", "Correct every place listed.")
	RevisionConflict = define(6001, "revision_conflict", http.StatusConflict, exitConflict, "Another operator's change was accepted first.", "Compare with the accepted revision and apply again.")
	NoSuchContract   = define(6002, "no_such_contract", http.StatusNotFound, exitNotFound, "No contract exists for the organisation.", "Check the name of the organisation.")
)
