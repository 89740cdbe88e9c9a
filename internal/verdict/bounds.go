package verdict

import "time"

// Bounds are the figures of the promises.
type Bounds struct {
	// Contact is how long a host must have been undisturbed until bounds in time hold for it.
	Contact time.Duration
	// Drain is how long after the acknowledgement of its leaving a target may get requests from hosts in
	// touch, DrainAnywhere from any host; 0 means that there is no such bound.
	Drain, DrainAnywhere time.Duration
	// ConfigApply is how long after its acknowledgement a configuration must be in force at hosts in
	// touch, ConfigAnywhere at any host; 0 means that there is no such bound.
	ConfigApply, ConfigAnywhere time.Duration
	// Rollback is how long after the effect of a version an older one may be seen at a host, eight times
	// as long if it is disturbed.
	Rollback time.Duration
	// Grace is the time that a host has to end after SIGTERM.
	Grace time.Duration
	// LossSlack is how long a host may close a connection on which a request has arrived.
	LossSlack time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the arrivals beyond the first of each request.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// LimitFactor, LimitSlack and LimitWindow bound what a target gets that names a limit.
	LimitFactor float64
	LimitSlack  int
	LimitWindow time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack bound the units of an organisation with a limit that run in a
	// window; a QuotaWindow of 0 judges no limits of organisations.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
	// QuotaSettle is how long no host must have been disrupted, and no limit changed, until few requests below
	// the limit may be refused for it; 0 does not judge refusals.
	QuotaSettle time.Duration
	// RequireFence tells that the platform refuses lower fencing tokens.
	RequireFence bool
	// Lease is the time inside which holders must not take turns; Thaw excuses calls that were held up.
	Lease, Thaw time.Duration
	// UsageWindow, UsageLate and UsageTolerance say when reports are due and how exact they are; a
	// UsageWindow of 0 judges neither.
	UsageWindow, UsageLate time.Duration
	UsageTolerance         float64
	// Recovery is how long after hosts are back RecoveryShare must be served, of plain requests and of
	// streams, if RecoveryBefore was served before the fault.
	Recovery                      time.Duration
	RecoveryShare, RecoveryBefore float64
	// CutShare is how often, compared with other hosts, those without links to targets must serve requests from the
	// contact time after the links were cut, if more than MaxCutFailures and CutFailureRatio of all fail there.
	CutShare        float64
	MaxCutFailures  int
	CutFailureRatio float64
	// TakeUps is the number of streams taken up one after the other of which WentOnShare must go on, if targets of
	// their version are there; 0 judges none.
	TakeUps     int
	WentOnShare float64
	// ServedShare is the share of all requests that must be served.
	ServedShare float64
	// MaxDenied and DeniedRatio bound proper requests that are denied by hosts in touch; MaxDeniedAlways
	// those that every version allows, by any host.
	MaxDenied, MaxDeniedAlways int
	DeniedRatio                float64
	// MaxOwnEnds is how often a host's process may end by itself.
	MaxOwnEnds int
	// MaxSilence is the longest silence of a target that is no reason to end an answer.
	MaxSilence time.Duration
}

const (
	// slack is the half second that the promises allow to news of a close, a timeout or a pause.
	slack = 500 * time.Millisecond
	// maxOverAttempts is the number of requests that may run at more targets than their route allows.
	maxOverAttempts = 3
	// maxLateDeadlines is the number of arrivals that may be handed more time than is left.
	maxLateDeadlines = 20
	// maxGone is the number of requests that may reach targets after their callers have left.
	maxGone = 3
	// maxKeptLost is the number of requests on kept connections that may be lost.
	maxKeptLost = 3
	// partCrashes and contentCrashes are the crashes after which requests with a part, or a request that
	// recurs, may reach targets maxCrashers times more.
	partCrashes, contentCrashes, maxCrashers = 5, 3, 3
	// minBeside is the number of requests from which those beside crashes are judged.
	minBeside = 20
	// maxPauseProbes is the number of requests that a host may send to a target in its pause.
	maxPauseProbes = 1
	// maxStaleCalls is the number of calls with a fencing token that was refused longer than a lease ago.
	maxStaleCalls = 3
	// throttledRatio is the share of the requests below a limit of which fewer must be refused for it, and
	// minBelow the number of such requests from which that is judged.
	throttledRatio, minBelow = 0.01, 100
	// minTimeouts is the number of requests past their timeout from which a quarter of them is judged.
	minTimeouts = 8
	// termWindow is the time after SIGTERM in which a request may have been sent that is cut at the end of
	// the grace period, and graceTail the part of that period in which its target must be at work.
	termWindow = 3 * time.Second
	graceTail  = 6
	// usedTime is the part of its time after which the cut of a request is not put down to a configuration.
	usedTime = 0.7
	// cutFactor is how much more often requests must be cut beside configurations than at other times.
	cutFactor = 3
)
