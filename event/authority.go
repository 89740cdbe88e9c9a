package event

import "github.com/rs/zerolog"

// Events of claims, open orders and usage windows, 4000 to 4199.
var (
	ClaimPending       = define(4000, "claim_pending", zerolog.WarnLevel, "The object API did not confirm the end of a claim; the gateway keeps trying.", "none")
	ClaimAnswerDropped = define(4001, "claim_answer_dropped", zerolog.WarnLevel, "The answer of a claim was too large to keep or memory ran short; repeats are told so.", "none")
	ClaimOrphaned      = define(4002, "claim_orphaned", zerolog.WarnLevel, "A claim's holder did not end it in time; its outcome is now unknown.", "Ask the service whether the call took effect.")
	ClaimPendingLost   = define(4003, "claim_pending_lost", zerolog.ErrorLevel, "Too many ends of claims wait for the object API; one was given up and its claim stays open until it becomes unknown.", "See docs/OPERATIONS.md, platform outage.")
	OrderOpened        = define(4050, "order_opened", zerolog.InfoLevel, "An order to an engine or the platform was opened.", "none")
	OrderClosed        = define(4051, "order_closed", zerolog.InfoLevel, "An order was closed in the object API; the line says how it ended.", "none")
	OrderStuck         = define(4052, "order_stuck", zerolog.WarnLevel, "An order of another author is open, and an order has to wait for it.", "If the author is known to be gone, release it.")
	OrderReleased      = define(4053, "order_released", zerolog.WarnLevel, "An operator released an open order.", "none")
	WindowFrozen       = define(4100, "usage_window_frozen", zerolog.InfoLevel, "A usage window was closed; its figures no longer change.", "none")
	WindowReported     = define(4101, "usage_window_reported", zerolog.InfoLevel, "The platform took the report of a usage window.", "none")
	UsageLate          = define(4102, "usage_late", zerolog.WarnLevel, "Usage came after its window was frozen and was counted into a later one.", "none")
	UsageLost          = define(4104, "usage_lost", zerolog.ErrorLevel, "Usage came more than 1440 windows late and was dropped.", "See why the gateway could not hand it over.")
	UsageStoreDown     = define(4103, "usage_store_down", zerolog.WarnLevel, "Usage waits in memory for the object API.", "See docs/OPERATIONS.md, platform outage.")
)
