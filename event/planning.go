package event

import "github.com/rs/zerolog"

// Events of the planners, which change the roles of engines and buy targets, 6100 to 6199.
var (
	RoleChangePlanned  = define(6100, "role_change_planned", zerolog.InfoLevel, "The planner decided to change the role or model of an engine; the line says why.", "none")
	RoleChangeDone     = define(6101, "role_change_done", zerolog.InfoLevel, "An engine has changed its role or model and accepts requests again.", "none")
	RoleChangeGivenUp  = define(6102, "role_change_given_up", zerolog.WarnLevel, "A change of role or model was abandoned; the line says why. The engine accepts requests in its former role.", "Check the open orders if this persists.")
	RoleChangeHeld     = define(6103, "role_change_held", zerolog.InfoLevel, "The planner leaves the roles in a pool unchanged; logged when the reason changes.", "none")
	SpendingPlanned    = define(6110, "spending_planned", zerolog.InfoLevel, "The planner decided to buy or release targets; the line says why.", "none")
	SpendingAnswered   = define(6111, "spending_answered", zerolog.InfoLevel, "The platform answered an order for targets.", "none")
	SpendingHeld       = define(6112, "spending_held", zerolog.InfoLevel, "The planner neither buys nor releases targets in a pool; logged when the reason changes.", "none")
	OrphanCordonLifted = define(6120, "orphan_cordon_lifted", zerolog.WarnLevel, "A cordon was removed because it belongs to no open order.", "none")
)
