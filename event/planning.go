package event

import "github.com/rs/zerolog"

// Events of the planners of roles and spending, 6100 to 6199.
var (
	ChangePlanned    = define(6100, "role_change_planned", zerolog.InfoLevel, "An engine is to change its role or model; the line says why.", "none")
	ChangeDone       = define(6101, "role_change_done", zerolog.InfoLevel, "An engine has changed and takes work again.", "none")
	ChangeGivenUp    = define(6102, "role_change_given_up", zerolog.WarnLevel, "A change was given up; the line says why. The engine takes work in its former role.", "Look at the open orders when it persists.")
	ChangeHeld       = define(6103, "role_change_held", zerolog.InfoLevel, "A pool stays as it is; written when the reason changes.", "none")
	PurchasePlanned  = define(6110, "spending_planned", zerolog.InfoLevel, "Targets are to be bought or given back; the line says why.", "none")
	PurchaseAnswered = define(6111, "spending_answered", zerolog.InfoLevel, "The platform answered an order for targets.", "none")
	PurchaseHeld     = define(6112, "spending_held", zerolog.InfoLevel, "Nothing is bought or given back; written when the reason changes.", "none")
	CordonLifted     = define(6120, "orphan_cordon_lifted", zerolog.WarnLevel, "A cordon whose author no longer works on it was lifted.", "none")
)
