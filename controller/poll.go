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
	// hostListOwners is the number of controllers of a region that read it.
	hostListOwners = 2
	// hostListKey divides the reading.
	hostListKey = "hosts"
	// pollInterval is the interval at which an owner reads a target's report.
	pollInterval = time.Second
	// pollOwners is the number of controllers of a region that poll a target.
	pollOwners = 2
	// pollTimeout bounds the reading of one report.
	pollTimeout = 900 * time.Millisecond
	// pollParallel bounds the reports that are read at once.
	pollParallel = 16
	// pollPause is the wait after a target did not answer.
	pollPause = 3 * time.Second
)

// pollHosts reads the list of hosts when this controller is an owner of it.
func (k *Controller) pollHosts(ctx context.Context) {
	if k.config.Hosts == nil || !k.Owns(hostListKey, hostListOwners, k.config.Self.Zone.Region) {
		return
	}
	timed, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	hosts, err := k.config.Hosts.List(timed)
	if err != nil {
		event.HostListFailed.Log(k.config.Log).Err(err).Send()
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.targets.ApplyList(time.Now(), hosts, k.local)
	k.tellUrgent()
}

// local tells whether a zone lies in the region of this controller.
func (k *Controller) local(name zone.Name) bool {
	if name == k.config.Self.Zone.Name {
		return true
	}
	s := k.holder.Snapshot()
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
	group.SetLimit(pollParallel)
	for _, t := range k.owned(now) {
		group.Go(func() error {
			k.pollTarget(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
}

// owned returns the targets that this controller polls now.
func (k *Controller) owned(now time.Time) []target.Target {
	controllers := membership.Controllers(k.Members(), k.config.Self.Zone.Region)
	division := membership.NewOwnership(controllers, k.config.Self.Host)
	var targets []target.Target
	for _, s := range k.Targets() {
		if !division.Owns(string(s.Target.ID), pollOwners) {
			continue
		}
		if k.due(now, &s) {
			targets = append(targets, s.Target)
		}
	}
	return targets
}

// due tells whether a target is not in its pause after a failure.
func (k *Controller) due(now time.Time, s *control.TargetState) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	again, failed := k.failedTargets[s.Target.ID]
	if failed && now.Before(again) {
		return false
	}
	delete(k.failedTargets, s.Target.ID)
	return true
}

// pollTarget reads one report.
func (k *Controller) pollTarget(ctx context.Context, t target.Target) {
	timed, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := k.config.Orders.Report(timed, t)
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.failedTargets[t.ID] = now.Add(pollPause)
		event.TargetPollFailed.Log(k.config.Log).Str("target", string(t.ID)).Err(err).Send()
		return
	}
	report.Target = t.ID
	report.ReceivedAt = now
	k.targets.ApplyReport(now, report)
}
