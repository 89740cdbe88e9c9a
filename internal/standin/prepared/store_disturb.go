package prepared

import "time"

// SetDown sets whether the store answers every call with status 503. Going down also
// closes the open connections.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	s.switches.Down = down
	s.mu.Unlock()
	if down {
		s.server.CloseClientConnections()
	}
}

// SetSilent sets whether the store leaves every call unanswered.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	s.switches.Silent = silent
	s.mu.Unlock()
}

// LoseAnswers makes the next n writes take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	s.switches.AnswersToLose = n
	s.mu.Unlock()
}

// Change changes the switches at any time.
func (s *Store) Change(change func(s *StoreSwitches)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.switches)
	s.setTimes++
	if every := s.switches.CompactEvery; every > 0 {
		go s.compactEvery(s.setTimes, every)
	}
}

// compactEvery compacts the store again and again until the next Change or until the store is closed.
func (s *Store) compactEvery(setTimes int, every time.Duration) {
	for {
		select {
		case <-s.closing:
			return
		case <-time.After(every):
		}
		s.mu.Lock()
		over := s.setTimes != setTimes
		s.mu.Unlock()
		if over {
			return
		}
		s.Compact()
	}
}

// nextLate tells whether the next write is carried out late, and by how much.
func (s *Store) nextLate() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	by := s.switches.LateBy
	if more := s.switches.LateMost - by; more > 0 {
		by += time.Duration(s.random.Int64N(int64(more)))
	}
	return by, s.random.Float64() < s.switches.LateShare
}

// watchLimit returns a channel that tells when a watch is cut off; nil if it is not.
func (s *Store) watchLimit() <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.MaxWatch == 0 {
		return nil
	}
	return time.After(s.switches.MaxWatch)
}
