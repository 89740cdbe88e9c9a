package controller

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniapin/control"
	"zinniapin/event"
	"zinniapin/membership"
	"zinniapin/target"
	"zinniapin/zone"
)

const (
	// hostListInterval is the interval at which an owner reads the list of
	// hosts.
	hostListInterval = 2 * time.Second
	// hostListOwners is the number of controllers of a region that read the list.
	hostListOwners = 2
	// hostListKey is the rendezvous key by which the owners are selected.
	hostListKey = "hosts"
	// pollInterval is the interval at which an owner reads a target's report.
	pollInterval = time.Second
	// pollOwners is the number of controllers of a region that poll a target.
	pollOwners = 2
	// pollTimeout bounds the read of one report.
	pollTimeout = 900 * time.Millisecond
	// maxParallelPolls bounds the number of concurrent reads of reports.
	maxParallelPolls = 16
	// pollRetryDelay is the wait before a target is polled again after a failure.
	pollRetryDelay = 3 * time.Second
)

// pollHosts reads the list of hosts and applies it to the view of targets, if this
// controller is an owner of the list.
func (k *Controller) pollHosts(ctx context.Context) {
	if k.config.Hosts == nil || !k.Owns(hostListKey, hostListOwners, k.config.Self.Zone.Region) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	hosts, err := k.config.Hosts.List(callCtx)
	if err != nil {
		event.HostListFailed.Log(k.config.Log).Err(err).Send()
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.targets.ApplyList(time.Now(), hosts, k.isLocal)
	k.announceUrgent()
}

// isLocal reports whether a zone is in the region of this controller.
func (k *Controller) isLocal(name zone.Name) bool {
	if name == k.config.Self.Zone.Name {
		return true
	}
	s := k.replica.Snapshot()
	if s == nil {
		return false
	}
	z, ok := s.Zone(name)
	return ok && z.Region == k.config.Self.Zone.Region
}

// pollTargets reads the reports of the targets that this controller owns.
func (k *Controller) pollTargets(ctx context.Context) {
	if k.config.Orders == nil {
		return
	}
	now := time.Now()
	var group errgroup.Group
	group.SetLimit(maxParallelPolls)
	for _, t := range k.targetsToPoll(now) {
		group.Go(func() error {
			k.pollTarget(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
}

// targetsToPoll returns the targets that this controller owns and that are due.
func (k *Controller) targetsToPoll(now time.Time) []target.Target {
	controllers := membership.Controllers(k.Members(), k.config.Self.Zone.Region)
	owners := membership.NewOwnership(controllers, k.config.Self.Host)
	var targets []target.Target
	for _, s := range k.Targets() {
		if !owners.Owns(string(s.Target.ID), pollOwners) {
			continue
		}
		if k.pollDue(now, &s) {
			targets = append(targets, s.Target)
		}
	}
	return targets
}

// pollDue reports whether a target may be polled, which it may not within
// pollRetryDelay after a failure.
func (k *Controller) pollDue(now time.Time, s *control.TargetState) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	retryAt, failed := k.pollRetryAt[s.Target.ID]
	if failed && now.Before(retryAt) {
		return false
	}
	delete(k.pollRetryAt, s.Target.ID)
	return true
}

// pollTarget reads the report of a target and applies it to the view.
func (k *Controller) pollTarget(ctx context.Context, t target.Target) {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := k.config.Orders.Report(callCtx, t)
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.pollRetryAt[t.ID] = now.Add(pollRetryDelay)
		event.TargetPollFailed.Log(k.config.Log).Str("target", string(t.ID)).Err(err).Send()
		return
	}
	report.Target = t.ID
	report.ReceivedAt = now
	k.targets.ApplyReport(now, report)
}
