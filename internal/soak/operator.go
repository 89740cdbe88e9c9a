package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/result"
	"zinniapin/target"
)

// configurationDelay is the time after which an accepted configuration must be in force at every
// gateway that serves.
const configurationDelay = 14 * time.Second

// organisations are the organisations whose callers send requests.
var organisations = []string{"kalnins", "sonar"}

// issuedKey is an API key that the operator issued.
type issuedKey struct {
	key          string
	organisation string
	withdrawn    time.Time // when the withdrawal was accepted; zero if it is valid
}

// acceptedRevision is a revision and when the operator learned of its acceptance.
type acceptedRevision struct {
	revision contract.Revision
	at       time.Time
}

// operator changes the configuration: keys, drained targets, and at times two conflicting
// changes at once.
type operator struct {
	sim         *simulation
	changeMutex sync.Mutex // held during a change or a race
	changeCount int
	mu          sync.Mutex
	keys        []*issuedKey
	drained     []target.ID        // targets that the operator has drained at present
	history     []acceptedRevision // accepted revisions, oldest first
}

// newOperator returns an operator with one permanent key for each organisation.
func newOperator(sim *simulation) *operator {
	o := &operator{sim: sim}
	for _, name := range organisations {
		o.keys = append(o.keys, &issuedKey{key: keyPrefix + name + "-lasting", organisation: name})
	}
	return o
}

// permanentKey returns the key of an organisation that is never withdrawn.
func (o *operator) permanentKey(organisation string) string {
	return keyPrefix + organisation + "-lasting"
}

// key draws a key for a request: the permanent one in two of three cases, otherwise one of the
// four latest, which may be withdrawn.
func (o *operator) key(rng *rand.Rand, organisation string) string {
	if rng.IntN(3) != 0 {
		return o.permanentKey(organisation)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var own []string
	for _, k := range o.keys {
		if k.organisation == organisation {
			own = append(own, k.key)
		}
	}
	return own[max(0, len(own)-1-rng.IntN(4))]
}

// latestRevision returns the latest revision that the operator knows to be accepted, or 0.
func (o *operator) latestRevision() contract.Revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.history) == 0 {
		return 0
	}
	return o.history[len(o.history)-1].revision
}

// markerModel returns the name of a model that is in the configuration of one revision only. A
// caller can tell the revision of a gateway from it.
func markerModel(r contract.Revision) string { return fmt.Sprintf("rev-%06d", r) }

// proposal returns a change on revision base to the given keys and drained targets, with
// withdraw withdrawn.
func (o *operator) proposal(base contract.Revision, keys []*issuedKey, withdraw *issuedKey, drained []target.ID) configuration.Proposal {
	o.changeCount++
	p := configuration.Proposal{ID: fmt.Sprintf("change-%d", o.changeCount), Author: "operator", Base: base}
	mark := markerModel(base + 1)
	p.Fleet = &contract.Fleet{
		Zones:  zones,
		Models: []contract.Model{{Name: modelName, Pool: poolName}, {Name: mark, Pool: "marks"}},
		Pools:  []contract.Pool{{Name: poolName, MaxOnDemand: 4, MaxReclaimable: 4, Disaggregated: true}, {Name: "marks"}},
		Services: []contract.Service{{Name: serviceName, Routes: []contract.Route{
			{Method: "POST", Path: "/deposits"}, {Method: "POST", Path: "/drafts", Repeatable: true},
		}}},
		Drained:            drained,
		UsageWindowSeconds: 20,
	}
	for _, name := range organisations {
		k := &contract.Contract{Organisation: name, Models: []string{modelName, mark}, Services: []string{serviceName},
			Limits: contract.Limits{RequestsPerSecond: 100, Concurrency: 200}}
		for _, key := range keys {
			if key.organisation != name {
				continue
			}
			withdrawn := !key.withdrawn.IsZero() || key == withdraw
			k.Keys = append(k.Keys, contract.Key{Fingerprint: contract.Fingerprint(key.key), Withdrawn: withdrawn})
		}
		p.Contracts = append(p.Contracts, k)
	}
	return p
}

// proposeUntilDecided sends a proposal until it is known whether it was accepted. It returns
// false if another change won.
func (o *operator) proposeUntilDecided(p configuration.Proposal) (contract.Revision, bool) {
	for {
		revision, err := configuration.Accept(context.Background(), o.sim.objects, p, time.Now())
		if err == nil {
			return revision, true
		}
		if code := result.CodeOf(err); code != result.StoreUnknown && code != result.StoreUnavailable {
			if code != result.RevisionConflict {
				o.sim.report.violation("operator: %v", err)
			}
			return 0, false
		}
		time.Sleep(time.Second)
	}
}

// change makes one change and waits until it is accepted. Losing against another change is a
// violation, since changes do not run concurrently here.
func (o *operator) change(edit func() (keys []*issuedKey, withdraw *issuedKey, drained []target.ID)) {
	o.changeMutex.Lock()
	defer o.changeMutex.Unlock()
	keys, withdraw, drained := edit()
	p := o.proposal(o.latestRevision(), keys, withdraw, drained)
	revision, ok := o.proposeUntilDecided(p)
	if !ok {
		o.sim.report.violation("operator: change %s on revision %d was rejected without a concurrent change", p.ID, p.Base)
		return
	}
	o.recordAccepted(revision, keys, withdraw, drained)
}

// recordAccepted records an accepted change and checks that it follows the previous revision.
func (o *operator) recordAccepted(revision contract.Revision, keys []*issuedKey, withdraw *issuedKey, drained []target.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.history); n > 0 && o.history[n-1].revision+1 != revision {
		o.sim.report.violation("operator: revision %d accepted after %d", revision, o.history[n-1].revision)
	}
	o.keys, o.drained = keys, drained
	if withdraw != nil {
		withdraw.withdrawn = time.Now()
	}
	o.history = append(o.history, acceptedRevision{revision, time.Now()})
	o.sim.report.event("revision %d accepted", revision)
}

// snapshot returns copies of the present keys and drained targets.
func (o *operator) snapshot() ([]*issuedKey, []target.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.keys), slices.Clone(o.drained)
}

// issueKey issues a key for an organisation.
func (o *operator) issueKey(organisation string) {
	o.change(func() ([]*issuedKey, *issuedKey, []target.ID) {
		keys, drained := o.snapshot()
		key := &issuedKey{key: fmt.Sprintf("%s%s-%d", keyPrefix, organisation, len(keys)), organisation: organisation}
		return append(keys, key), nil, drained
	})
}

// withdrawKey withdraws the newest valid key, if there is one besides the permanent ones.
func (o *operator) withdrawKey() {
	o.change(func() ([]*issuedKey, *issuedKey, []target.ID) {
		keys, drained := o.snapshot()
		for i := len(keys) - 1; i >= len(organisations); i-- {
			if keys[i].withdrawn.IsZero() {
				return keys, keys[i], drained
			}
		}
		return keys, nil, drained
	})
}

// setDrained replaces the set of drained targets.
func (o *operator) setDrained(drained ...target.ID) {
	o.change(func() ([]*issuedKey, *issuedKey, []target.ID) {
		keys, _ := o.snapshot()
		return keys, nil, drained
	})
}

// raceChanges proposes two changes on one revision concurrently and checks that at most one is
// accepted.
func (o *operator) raceChanges() {
	o.changeMutex.Lock()
	defer o.changeMutex.Unlock()
	keys, drained := o.snapshot()
	base := o.latestRevision()
	var won [2]contract.Revision
	var running sync.WaitGroup
	for i := range won {
		p := o.proposal(base, keys, nil, drained)
		running.Go(func() { won[i], _ = o.proposeUntilDecided(p) })
	}
	running.Wait()
	if won[0] != 0 && won[1] != 0 {
		o.sim.report.violation("operator: both changes on revision %d were accepted, as %v", base, won)
	}
	o.recordAccepted(max(won[0], won[1]), keys, nil, drained)
}

// checkServedKey checks that the key of a served request was not withdrawn more than
// configurationDelay before.
func (o *operator) checkServedKey(a *attempt, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range o.keys {
		if k.key != key || k.withdrawn.IsZero() || a.sent.Sub(k.withdrawn) <= configurationDelay {
			continue
		}
		o.sim.reportOldConfiguration(a.sent, "%s served key %s %v after its withdrawal", a.gateway, k.key, a.sent.Sub(k.withdrawn))
	}
}

// requiredRevision returns the oldest revision by which a gateway may serve at a time.
func (o *operator) requiredRevision(at time.Time) contract.Revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	var required contract.Revision
	for _, a := range o.history {
		if at.Sub(a.at) > configurationDelay {
			required = a.revision
		}
	}
	return required
}
