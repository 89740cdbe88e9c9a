package contract

import "strings"

// sharedEntries bounds the names and lists remembered by an Interner.
const sharedEntries = 4096

// Interner lets contracts with the same names and lists hold them once. The
// zero value is ready. It is not safe for concurrent use.
type Interner struct {
	names map[string]string
	lists map[string][]string
}

// Compact returns the contracts in the least memory: names and lists are
// shared, and keys take no more room than they need. The contracts must be the
// caller's own; from now on they must not be changed. A nil Interner returns
// them as they are.
func (s *Interner) Compact(contracts []*Contract) []*Contract {
	if s == nil {
		return contracts
	}
	for _, c := range contracts {
		c.Models = s.list(c.Models)
		c.Services = s.list(c.Services)
		c.Keys = s.keys(c.Keys)
	}
	compact := make([]*Contract, len(contracts))
	copy(compact, contracts)
	return compact
}

// keys returns a copy of keys with shared labels.
func (s *Interner) keys(keys []Key) []Key {
	if keys == nil {
		return nil
	}
	compact := make([]Key, len(keys))
	for i, k := range keys {
		k.Label = s.name(k.Label)
		compact[i] = k
	}
	return compact
}

// name returns the shared form of a name.
func (s *Interner) name(name string) string {
	if shared, ok := s.names[name]; ok {
		return shared
	}
	if s.names == nil || len(s.names) >= sharedEntries {
		s.names = map[string]string{}
	}
	s.names[name] = name
	return name
}

// list returns the shared form of a list; an append to it copies.
func (s *Interner) list(list []string) []string {
	if list == nil {
		return nil
	}
	key := strings.Join(list, "\x00")
	if shared, ok := s.lists[key]; ok && len(shared) == len(list) {
		return shared
	}
	if s.lists == nil || len(s.lists) >= sharedEntries {
		s.lists = map[string][]string{}
	}
	shared := make([]string, len(list))
	for i, name := range list {
		shared[i] = s.name(name)
	}
	s.lists[key] = shared
	return shared
}
