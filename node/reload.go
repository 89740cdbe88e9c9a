package node

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"zinniapin/event"
	"zinniapin/settings"
)

// current returns the settings in force: those of the start, with what Reload
// took over since.
func (n *Node) current() *settings.Node { return n.reloaded.Load() }

// settingsInterval is the pace at which the settings file is looked at, since
// it may change without a signal.
const settingsInterval = 2 * time.Second

// FollowSettings reads the settings file again at each signal and when the file
// has changed, from when the node serves until the context ends. A file that cannot be used is logged
// with the place of the mistake, once, and changes nothing.
func (n *Node) FollowSettings(ctx context.Context, file string, signals <-chan os.Signal) {
	select {
	case <-ctx.Done():
		return
	case <-n.serving:
	}
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	seen := fileState(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if fileState(file) == seen {
				continue
			}
		}
		seen = fileState(file)
		var next settings.Node
		err := settings.Load(file, &next)
		event.SettingsReread.Log(n.log).Bool("changed", err == nil && !next.Equal(n.current())).Err(err).Send()
		if err == nil {
			n.Reload(next)
		}
	}
}

// stamp tells versions of a file apart.
type stamp struct {
	changed int64 // nanoseconds of Unix time; 0 when there is no file
	size    int64
}

// fileState returns the stamp of a file.
func fileState(file string) stamp {
	info, err := os.Stat(file)
	if err != nil {
		return stamp{} // told apart from a file that is there; reading it says why
	}
	return stamp{info.ModTime().UnixNano(), info.Size()}
}

// Reload puts changed settings in force as far as that can be done while the
// node runs. The others keep the values of the start and are named in the log;
// they take effect at the next one.
func (n *Node) Reload(next settings.Node) {
	before := n.current()
	if next.Equal(before) {
		return
	}
	taken := *before
	taken.Seeds = next.Seeds
	taken.MemoryMB = next.MemoryMB
	taken.Bounds.GraceSeconds = next.Bounds.GraceSeconds
	taken.Bounds.UsageLateSeconds = next.Bounds.UsageLateSeconds
	taken.Duties = next.Duties
	n.reloaded.Store(&taken)
	n.mesh.AddAddresses(next.Seeds)
	n.limitMemory()
	event.SettingsTaken.Log(n.log).Strs("changed", before.Differences(&taken)).Strs("at_next_start", taken.Differences(&next)).Send()
}

// limitMemory tells the runtime how much memory the process may use.
func (n *Node) limitMemory() {
	debug.SetMemoryLimit(int64(float64(n.current().MemoryMB) * memoryShare * (1 << 20)))
}
