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

// TestGatewayServesItsConfiguration checks that a controller can fetch a newer configuration
// from its gateway. A controller that was cut off or restarted may have an older one.
func TestGatewayServesItsConfiguration(t *testing.T) {
	withUplink(t, func(t *testing.T, _ *memlink.Fabric, own, _ *fakeController, u *Uplink, _ *fakeGateway) {
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
		_, err = u.replica.Apply(b)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		outdated := &relay.Replica{}
		got, err := outdated.Fetch(context.Background(), own.gatewayLink())
		is.NoErr(err)
		is.Equal(got.Revision, contract.Revision(1))
	})
}
