package process

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/provider"
	"zinniapin/settings"
	"zinniapin/target"
)

// An engine that is bought from the platform starts, and stops when it is released.
func TestBoughtEnginesRunUntilReleased(t *testing.T) {
	is := is.New(t)
	log := zerolog.Nop()
	s := &settings.Standin{
		Platform: &settings.StandinPlatform{Address: "127.0.0.1:0", BoughtIP: "127.0.0.1", Bought: &settings.StandinEngine{Models: []string{"m"}}},
		Engines:  []settings.StandinEngine{{ID: "e", Address: "127.0.0.1:0", Models: []string{"m"}}},
		Services: []settings.StandinService{{Address: "127.0.0.1:0"}},
	}
	p, err := Start(s, &log)
	is.NoErr(err)
	defer p.Close()
	is.True(p.Engine("e") != nil)
	p.Platform.Order(provider.TargetOrder{ID: "o1", Class: target.OnDemand, Pool: "p", Count: 1})
	const bought = "p-on-demand-1"
	for deadline := time.Now().Add(10 * time.Second); p.Engine(bought) == nil; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
	// The host is listed shortly after its engine starts; until then the platform
	// refuses to release it.
	for i := 2; ; i++ {
		id := "release-" + strconv.Itoa(i)
		if p.Platform.Order(provider.TargetOrder{ID: id, Count: -1, Release: bought}).Accepted == 1 {
			break
		}
		is.True(i < 10_000)
		time.Sleep(time.Millisecond)
	}
	for deadline := time.Now().Add(10 * time.Second); p.Engine(bought) != nil; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
}
