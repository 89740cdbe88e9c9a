package event

import "github.com/rs/zerolog"

// Events of the stand-ins, which replace engines and the platform in tests and trials,
// 5000 to 5099.
var (
	StandinStarted = define(5000, "standin_started", zerolog.InfoLevel, "A stand-in accepts connections; the line names its kind and address.", "none")
	StandinBought  = define(5001, "standin_bought", zerolog.InfoLevel, "The stand-in platform started an engine that was ordered.", "none")
	StandinEnded   = define(5002, "standin_ended", zerolog.InfoLevel, "The stand-in platform stopped an engine that was released or reclaimed.", "none")
)
