package node

import (
	"context"
	"os"
	"time"

	"zinniapin/daemon"
	"zinniapin/event"
	"zinniapin/settings"
)

// currentSettings returns the settings in force: those at start, with the values
// that Reload has applied since.
func (n *Node) currentSettings() *settings.Node { return n.reloaded.Load() }

// settingsInterval is how often the settings file is checked for changes, since
// it may change without a signal.
const settingsInterval = 2 * time.Second

// FollowSettings reloads the settings file at each signal and whenever the file
// has changed, from when the node accepts callers until the context ends. An
// invalid file is logged once, with the position of the error, and has no effect.
func (n *Node) FollowSettings(ctx context.Context, file string, signals <-chan os.Signal) {
	select {
	case <-ctx.Done():
		return
	case <-n.serving:
	}
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := stampOf(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if stampOf(file) == last {
				continue
			}
		}
		last = stampOf(file)
		var next settings.Node
		err := settings.Load(file, &next)
		event.SettingsReread.Log(n.log).Bool("changed", err == nil && !next.Equal(n.currentSettings())).Err(err).Send()
		if err == nil {
			n.Reload(next)
		}
	}
}

// fileStamp identifies a version of a file.
type fileStamp struct {
	modified int64 // nanoseconds of Unix time; 0 if there is no file
	size     int64
}

// stampOf returns the stamp of a file, and the zero stamp if it cannot be read.
func stampOf(file string) fileStamp {
	info, err := os.Stat(file)
	if err != nil {
		return fileStamp{} // differs from any existing file; loading it reports the error
	}
	return fileStamp{info.ModTime().UnixNano(), info.Size()}
}

// Reload applies those changed settings that can change while the node runs. The
// others keep their values until the next start; the log names them.
func (n *Node) Reload(next settings.Node) {
	before := n.currentSettings()
	if next.Equal(before) {
		return
	}
	applied := *before
	applied.Seeds = next.Seeds
	applied.MemoryMB = next.MemoryMB
	applied.Bounds.GraceSeconds = next.Bounds.GraceSeconds
	applied.Bounds.UsageLateSeconds = next.Bounds.UsageLateSeconds
	applied.Duties = next.Duties
	n.reloaded.Store(&applied)
	n.mesh.AddAddresses(next.Seeds)
	n.limitMemory()
	event.SettingsTaken.Log(n.log).Strs("changed", before.Differences(&applied)).Strs("at_next_start", applied.Differences(&next)).Send()
}

// limitMemory bounds the memory of the process.
func (n *Node) limitMemory() {
	memory := n.currentSettings().MemoryMB
	daemon.LimitMemory(memory)
	n.intake.SetMemory(memory)
}
