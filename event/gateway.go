package event

import "github.com/rs/zerolog"

// Events of gateways, 2000 to 2199.
var (
	RequestRouted   = define(2000, "request_routed", zerolog.InfoLevel, "An attempt of a request was assigned to a target.", "none")
	RequestRefused  = define(2001, "request_refused", zerolog.InfoLevel, "A request was refused or failed; the line says whether it ran.", "none")
	AttemptFailed   = define(2002, "attempt_failed", zerolog.WarnLevel, "An attempt ended without a complete answer.", "Check the target if this recurs.")
	ChunkDropped    = define(2003, "chunk_dropped", zerolog.WarnLevel, "A chunk was dropped because it belongs to another attempt or holds tokens that were already delivered.", "Check the engine if this recurs.")
	TargetCordoned  = define(2005, "target_cordoned", zerolog.InfoLevel, "A target was cordoned, so that it gets no new requests, or its cordon was removed.", "none")
	StreamsMoved    = define(2006, "streams_moved", zerolog.InfoLevel, "Streams are being moved off a target that is shutting down.", "none")
	GatewayAlone    = define(2007, "gateway_alone", zerolog.ErrorLevel, "The gateway has reached no controller for too long and refuses requests.", "Check the network of the host and the controllers.")
	ClaimNotClosed  = define(2008, "claim_not_closed", zerolog.ErrorLevel, "The outcome of a non-repeatable request could not be recorded; its claim stays open.", "Check the object API.")
	UsageNotFlushed = define(2009, "usage_not_flushed", zerolog.ErrorLevel, "Usage could not be delivered to a controller before the process ended.", "Compare the usage window with the targets' logs.")
	UplinkEnded     = define(2010, "uplink_ended", zerolog.ErrorLevel, "The links to the controllers ended while the gateway was running.", "Restart the gateway.")
)
