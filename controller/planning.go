package controller

import (
	"context"
	"time"

	"zinniapin/control"
	"zinniapin/planning"
	"zinniapin/target"
)

// planFleet adapts a controller to planning.Fleet.
type planFleet struct {
	*Controller
}

var _ planning.Fleet = planFleet{}

// Loads implements planning.Fleet.
func (f planFleet) Loads(pool string) []control.PoolLoad {
	var loads []control.PoolLoad
	for key, l := range f.planLoads.total(time.Now()) {
		if key.pool == pool {
			loads = append(loads, l)
		}
	}
	return loads
}

// Owns implements planning.Fleet. Each key has one owner per region.
func (f planFleet) Owns(key string) bool {
	return f.Controller.Owns(key, 1, f.config.Self.Zone.Region)
}

// StoreReachable implements planning.Fleet.
func (f planFleet) StoreReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeReachable
}

// AllGatewaysReachable implements planning.Fleet.
func (f planFleet) AllGatewaysReachable() bool {
	return len(f.unreachableGateways()) == 0
}

// CordonEverywhere implements planning.Fleet.
func (f planFleet) CordonEverywhere(ctx context.Context, id target.ID, epoch uint64, lift bool) (int, []string, error) {
	return f.Controller.CordonEverywhere(ctx, id, epoch, lift)
}

// runPlanning runs planning until ctx ends, if this controller plans for pools.
func (k *Controller) runPlanning(ctx context.Context) error {
	if k.plan != nil {
		k.plan.Run(ctx)
	}
	return nil
}

// planStatus returns the reply for TopicPlans; it is empty if this controller does not plan.
func (k *Controller) planStatus() planning.Status {
	if k.plan == nil {
		return planning.Status{}
	}
	return k.plan.Status()
}
