package event

import "github.com/rs/zerolog"

// Events of claims, open orders and usage windows, 4000 to 4199. A claim is the record in the
// object API that lets a request which must not be repeated be sent once; see package claim. An
// order changes a unit: an engine, or a pool in an availability zone. Its author is the process
// that gave it; see package authority.
var (
	ClaimPending        = define(4000, "claim_pending", zerolog.WarnLevel, "The object API did not confirm the end of a claim, which lets a request with an idempotency key be sent once; the gateway keeps trying.", "none")
	ClaimAnswerDropped  = define(4001, "claim_answer_dropped", zerolog.WarnLevel, "The answer to a claimed request was not kept, because it was too large or memory ran short; repeats of the request are told so.", "none")
	ClaimOrphaned       = define(4002, "claim_orphaned", zerolog.WarnLevel, "The gateway that claimed a request did not record the outcome in time; it is recorded as unknown.", "Ask the service whether the call took effect.")
	ClaimPendingLost    = define(4003, "claim_pending_lost", zerolog.ErrorLevel, "Too many outcomes of claimed requests wait to be written to the object API; one was dropped, and its claim stays open until the outcome is recorded as unknown.", "See docs/OPERATIONS.md, platform outage.")
	OrderOpened         = define(4050, "order_opened", zerolog.InfoLevel, "An order to an engine or the platform was opened.", "none")
	OrderClosed         = define(4051, "order_closed", zerolog.InfoLevel, "An order was closed in the object API; the line gives its outcome.", "none")
	OrderStuck          = define(4052, "order_stuck", zerolog.WarnLevel, "An order cannot be sent while an order that another process gave (its author) is open for the same unit: an engine, or a pool in an availability zone.", "If the author no longer runs, release its order.")
	OrderReleased       = define(4053, "order_released", zerolog.WarnLevel, "An operator released an open order.", "none")
	UsageWindowFrozen   = define(4100, "usage_window_frozen", zerolog.InfoLevel, "A usage window was closed; its figures no longer change.", "none")
	UsageWindowReported = define(4101, "usage_window_reported", zerolog.InfoLevel, "The platform accepted the report of a usage window.", "none")
	UsageLate           = define(4102, "usage_late", zerolog.WarnLevel, "Usage arrived after its window was frozen and was added to a later window.", "none")
	UsageLost           = define(4104, "usage_lost", zerolog.ErrorLevel, "Usage arrived more than 1440 windows late (a day at the default length of a minute) and was dropped.", "Find out why the gateway could not deliver it earlier.")
	UsageStoreDown      = define(4103, "usage_store_down", zerolog.WarnLevel, "Usage is kept in memory until the object API can be reached.", "See docs/OPERATIONS.md, platform outage.")
)
