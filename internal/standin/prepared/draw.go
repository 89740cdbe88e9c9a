package prepared

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Draw is a switch that a soak may draw.
type Draw struct {
	Name string
	// OfTargets is set if it is a switch of targets.
	OfTargets bool
	// Into turns the switch on with amounts from r, and returns them as text. The same source gives the
	// same amounts. Other switches keep their values.
	Into func(r *rand.Rand, s *Switches) string
}

// Draws returns the switches that a soak may draw.
func Draws() []Draw {
	all := targetDraws()
	for i := range all {
		all[i].OfTargets = true
	}
	return append(append(all, storeDraws()...), dutyDraws()...)
}

// targetDraws returns the switches of targets.
func targetDraws() []Draw {
	return []Draw{
		{Name: "refusals", Into: faultShare(RefuseNotRun, 0.02, 0.3)},
		{Name: "unmarked refusals", Into: faultShare(RefuseUnmarked, 0.02, 0.2)},
		{Name: "refusals that ask for a pause", Into: faultShare(RefusePause, 0.01, 0.05)},
		{Name: "errors of targets", Into: faultShare(RunAndFail, 0.02, 0.2)},
		{Name: "lost answers of targets", Into: faultShare(RunAndReset, 0.02, 0.2)},
		{Name: "requests without an answer", Into: faultShare(RunAndHang, 0.01, 0.06)},
		{Name: "garbage", Into: faultShare(Garbage, 0.02, 0.2)},
		{Name: "truncated answers", Into: faultShare(Truncated, 0.02, 0.2)},
		{Name: "answers of other requests", Into: faultShare(WrongRequestID, 0.02, 0.2)},
		{Name: "second answers", Into: faultShare(ExtraResponse, 0.02, 0.3)},
		{Name: "early answers", Into: faultShare(EarlyResponse, 0.02, 0.2)},
		{Name: "broken streams", Into: faultShare(BrokenStream, 0.05, 0.3)},
		{Name: "closed connections", Into: func(r *rand.Rand, s *Switches) string {
			s.Target.CloseShare = between(r, 0.05, 1)
			return fmt.Sprintf("%.2f", s.Target.CloseShare)
		}},
		{Name: "dropped idle connections", Into: func(r *rand.Rand, s *Switches) string {
			return span(r, &s.Target.IdleTime, 20*time.Millisecond, time.Second)
		}},
		{Name: "limited connections", Into: func(r *rand.Rand, s *Switches) string {
			s.Target.MaxConnections = 4 + r.IntN(12)
			return fmt.Sprint(s.Target.MaxConnections)
		}},
		{Name: "slow connections", Into: func(r *rand.Rand, s *Switches) string {
			return span(r, &s.Target.AcceptDelay, time.Millisecond, 100*time.Millisecond)
		}},
		{Name: "slow targets", Into: func(r *rand.Rand, s *Switches) string {
			return span(r, &s.Target.Delay, 20*time.Millisecond, 200*time.Millisecond)
		}},
		{Name: "slow answers", Into: func(r *rand.Rand, s *Switches) string {
			s.Target.SlowShare = between(r, 0.05, 0.3)
			return fmt.Sprintf("%.2f ", s.Target.SlowShare) + span(r, &s.Target.Delay, 10*time.Millisecond, 100*time.Millisecond)
		}},
		{Name: "pauses in streams", Into: func(r *rand.Rand, s *Switches) string {
			return span(r, &s.Target.EventPause, 40*time.Millisecond, 250*time.Millisecond)
		}},
		{Name: "crashes", Into: func(r *rand.Rand, s *Switches) string {
			return span(r, &s.Target.CrashEvery, 3*time.Second, 8*time.Second) + " " +
				span(r, &s.Target.RestartAfter, 300*time.Millisecond, 2500*time.Millisecond)
		}},
		{Name: "silence", Into: func(r *rand.Rand, s *Switches) string {
			return span(r, &s.Target.SilentEvery, 2*time.Second, 6*time.Second) + " " +
				span(r, &s.Target.SilentFor, 500*time.Millisecond, 1500*time.Millisecond)
		}},
	}
}

// storeDraws returns the switches of the store.
func storeDraws() []Draw {
	return []Draw{
		{Name: "slow store", Into: func(r *rand.Rand, s *Switches) string {
			return span(r, &s.Store.Delay, 50*time.Millisecond, 600*time.Millisecond)
		}},
		{Name: "lost answers of the store", Into: func(r *rand.Rand, s *Switches) string {
			s.Store.LoseShare = between(r, 0.05, 0.5)
			return fmt.Sprintf("%.2f", s.Store.LoseShare)
		}},
		{Name: "late writes", Into: func(r *rand.Rand, s *Switches) string {
			s.Store.LateShare = between(r, 0.05, 0.5)
			return fmt.Sprintf("%.2f ", s.Store.LateShare) + span(r, &s.Store.LateBy, time.Second, 4*time.Second)
		}},
		{Name: "store over its rate", Into: func(r *rand.Rand, s *Switches) string {
			s.Store.RefuseShare = between(r, 0.05, 0.4)
			return fmt.Sprintf("%.2f", s.Store.RefuseShare)
		}},
		{Name: "cut watches", Into: func(r *rand.Rand, s *Switches) string {
			return span(r, &s.Store.MaxWatch, 200*time.Millisecond, 2*time.Second)
		}},
		{Name: "short pages", Into: func(r *rand.Rand, s *Switches) string {
			s.Store.PageSize = 1 + r.IntN(3)
			return fmt.Sprint(s.Store.PageSize)
		}},
		{Name: "forgotten history", Into: func(r *rand.Rand, s *Switches) string {
			return span(r, &s.Store.CompactEvery, 200*time.Millisecond, 2*time.Second)
		}},
	}
}

// dutyDraws returns the switches of the server of the duties.
func dutyDraws() []Draw {
	return []Draw{
		{Name: "duties that are down", Into: func(_ *rand.Rand, s *Switches) string {
			s.Duties.Down = true
			return "all the time"
		}},
		{Name: "slow duties", Into: func(r *rand.Rand, s *Switches) string {
			return span(r, &s.Duties.Delay, 100*time.Millisecond, 2*time.Second)
		}},
		{Name: "lost answers of duties", Into: func(r *rand.Rand, s *Switches) string {
			s.Duties.LoseShare = between(r, 0.1, 0.6)
			return fmt.Sprintf("%.2f", s.Duties.LoseShare)
		}},
		{Name: "late duties", Into: func(r *rand.Rand, s *Switches) string {
			s.Duties.LateShare = between(r, 0.1, 0.5)
			return fmt.Sprintf("%.2f ", s.Duties.LateShare) + span(r, &s.Duties.LateBy, time.Second, 5*time.Second)
		}},
		{Name: "duties over their rate", Into: func(r *rand.Rand, s *Switches) string {
			s.Duties.RefuseShare = between(r, 0.1, 0.6)
			return fmt.Sprintf("%.2f", s.Duties.RefuseShare)
		}},
	}
}

// faultShare returns a function that draws the share of requests with a fault.
func faultShare(f Fault, least, most float64) func(*rand.Rand, *Switches) string {
	return func(r *rand.Rand, s *Switches) string {
		share := between(r, least, most)
		shares := map[Fault]float64{f: share} // targets share no map
		for other, o := range s.Target.Shares {
			if other != f {
				shares[other] = o
			}
		}
		s.Target.Shares = shares
		return fmt.Sprintf("%.2f", share)
	}
}

// between draws a number.
func between(r *rand.Rand, least, most float64) float64 { return least + r.Float64()*(most-least) }

// span draws a time and returns it as text.
func span(r *rand.Rand, into *time.Duration, least, most time.Duration) string {
	*into = (least + time.Duration(r.Int64N(int64(most-least)))).Round(time.Millisecond)
	return into.String()
}
