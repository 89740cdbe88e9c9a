package event

import "github.com/rs/zerolog"

// Events of routing, placement and spending, 6000 to 6199.
var (
	PlacementStep = define(6010, "placement_step", zerolog.InfoLevel, "An engine is to change its role or model; the line gives demand, gain and loss.", "none")
	PlacementHeld = define(6011, "placement_held", zerolog.DebugLevel, "A pool stays as it is; the line says why.", "none")
	SpendingStep  = define(6020, "spending_step", zerolog.InfoLevel, "A target is to be bought or released; the line gives the figures.", "none")
	SpendingHeld  = define(6021, "spending_held", zerolog.DebugLevel, "No target is bought or released for a pool; the line says why.", "none")
)
