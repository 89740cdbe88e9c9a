package contract

import "strings"

// maxInterned limits the names and the lists that an Interner holds. Beyond it the Interner starts
// again with an empty map.
const maxInterned = 4096

// Interner deduplicates names and lists of names, so that contracts with equal ones share one copy
// in memory. The zero value is ready to use. It is not safe for concurrent use.
type Interner struct {
	names map[string]string
	lists map[string][]string
}

// Compact reduces the memory that contracts take: it interns their names and lists and trims
// slices to their length. It changes the contracts in place, so no one else may use them yet,
// and they must not be changed afterwards. A nil Interner returns them unchanged.
func (i *Interner) Compact(contracts []*Contract) []*Contract {
	if i == nil {
		return contracts
	}
	for _, c := range contracts {
		c.Models = i.list(c.Models)
		c.Services = i.list(c.Services)
		c.Keys = i.keys(c.Keys)
	}
	compact := make([]*Contract, len(contracts))
	copy(compact, contracts)
	return compact
}

// keys returns a copy of keys with interned labels.
func (i *Interner) keys(keys []Key) []Key {
	if keys == nil {
		return nil
	}
	compact := make([]Key, len(keys))
	for n, k := range keys {
		k.Label = i.name(k.Label)
		compact[n] = k
	}
	return compact
}

// name returns the interned copy of a name.
func (i *Interner) name(name string) string {
	if shared, ok := i.names[name]; ok {
		return shared
	}
	if i.names == nil || len(i.names) >= maxInterned {
		i.names = map[string]string{}
	}
	i.names[name] = name
	return name
}

// list returns the interned copy of a list. Its capacity equals its length, so that an append
// copies it.
func (i *Interner) list(list []string) []string {
	if list == nil {
		return nil
	}
	key := strings.Join(list, "\x00")
	if shared, ok := i.lists[key]; ok && len(shared) == len(list) {
		return shared
	}
	if i.lists == nil || len(i.lists) >= maxInterned {
		i.lists = map[string][]string{}
	}
	shared := make([]string, len(list))
	for n, name := range list {
		shared[n] = i.name(name)
	}
	i.lists[key] = shared
	return shared
}
