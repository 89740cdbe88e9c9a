package uplink

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/internal/standin/objects"
	"zinniapin/link/memlink"
	"zinniapin/relay"
	"zinniapin/zone"
)

// TestGatewayHandsItsConfigurationOn checks that a controller that is behind
// its gateway, as one that was cut off or restarted is, gets the newer
// configuration from it.
func TestGatewayHandsItsConfigurationOn(t *testing.T) {
	running(t, func(t *testing.T, _ *memlink.Fabric, own, _ *fakeController, u *Uplink, _ *fakeGateway) {
		is := is.New(t)
		s := objects.New()
		p := configuration.Proposal{
			ID: "change-1", Author: "operator",
			Fleet:     &contract.Fleet{Zones: []zone.Zone{{Name: "riga-a", Region: "baltic"}}, UsageWindowSeconds: 60},
			Contracts: []*contract.Contract{{Organisation: "kalnins", Limits: contract.Limits{RequestsPerSecond: 1, Concurrency: 1}}},
		}
		_, err := configuration.Accept(context.Background(), s, p, time.Now())
		is.NoErr(err)
		b, _, err := configuration.Load(context.Background(), s, nil)
		is.NoErr(err)
		_, err = u.holder.Apply(b)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		behind := &relay.Replica{}
		got, err := behind.Fetch(context.Background(), own.gateway())
		is.NoErr(err)
		is.Equal(got.Revision, contract.Revision(1))
	})
}
