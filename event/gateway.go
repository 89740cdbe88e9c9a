package event

import "github.com/rs/zerolog"

// Events of the gateway, 2000 to 2199.
var (
	RequestRouted   = define(2000, "request_routed", zerolog.InfoLevel, "An attempt at a request was given to a target.", "none")
	RequestRefused  = define(2001, "request_refused", zerolog.InfoLevel, "A request was refused or failed; the line says whether it ran.", "none")
	AttemptFailed   = define(2002, "attempt_failed", zerolog.WarnLevel, "An attempt ended without a whole answer.", "Look at the target when it recurs.")
	ChunkDropped    = define(2003, "chunk_dropped", zerolog.WarnLevel, "A chunk of another attempt or of tokens already delivered was dropped.", "Look at the engine when it recurs.")
	TargetCordoned  = define(2005, "target_cordoned", zerolog.InfoLevel, "New work to a target was stopped or allowed again.", "none")
	StreamsMoved    = define(2006, "streams_moved", zerolog.InfoLevel, "Streams are moved off a target that leaves.", "none")
	GatewayAlone    = define(2007, "gateway_alone", zerolog.ErrorLevel, "The gateway reaches no controller for too long and refuses requests.", "Check the network of the host and the controllers.")
	ClaimNotClosed  = define(2008, "claim_not_closed", zerolog.ErrorLevel, "The outcome of a non-repeatable request could not be recorded; its claim stays open.", "Check the object API.")
	UsageNotFlushed = define(2009, "usage_not_flushed", zerolog.ErrorLevel, "Usage could not be handed over before the process ended.", "Compare the usage window with the targets' logs.")
	UplinkEnded     = define(2010, "uplink_ended", zerolog.ErrorLevel, "The links to the controllers ended while the gateway runs.", "Restart the gateway.")
)
