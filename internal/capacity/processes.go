package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"zinniapin/configuration"
	"zinniapin/settings"
	"zinniapin/store/httpstore"
	"zinniapin/target"
)

const (
	// processNetwork is the prefix of the processes' loopback addresses.
	processNetwork = "127.83.1."
	// processHosts is the number of controllers run as processes.
	processHosts = 6
	// processEngines is the number of simulated engines in the controllers'
	// region.
	processEngines = designTargets / regionCount
	// processWarmUp is how long processes run before they are measured, and how
	// long they are then measured.
	processWarmUp = 12 * time.Second
)

// measureProcesses measures the resident size of controllers that run as
// processes, with a region of the design size. The environment variable
// ZINNIA_CAPACITY_BINARIES names the folder of the built programs; without it
// the measurement is skipped.
func measureProcesses(r *report) error {
	binaries := os.Getenv("ZINNIA_CAPACITY_BINARIES")
	if binaries == "" {
		r.printf("skipped: ZINNIA_CAPACITY_BINARIES does not name the folder of the built programs\n")
		return nil
	}
	for _, limit := range []string{"", "GOGC=50", "GOMEMLIMIT=32MiB"} {
		var resident []point
		for _, n := range organisationSizes {
			kilobytes, share, err := runProcesses(binaries, limit, n)
			if err != nil {
				return err
			}
			r.printf("%d organisations %s: resident %.0f kB, %.2f%% of a core a controller\n", n, limit, kilobytes, share)
			resident = append(resident, point{float64(n), kilobytes})
		}
		r.slope("controller process "+limit+": resident", "kB", "organisation", resident)
	}
	return nil
}

// runProcesses runs controllers with a simulated platform and returns the mean
// resident size and the mean processor usage, in percent of a core, of one.
// limit is an environment setting for the controllers, such as GOGC=50.
func runProcesses(binaries, limit string, organisations int) (kilobytes, share float64, err error) {
	folder, err := os.MkdirTemp("", "zinnia-capacity-")
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	platform, err := startProcess(folder, filepath.Join(binaries, "zinnia-standin"), "standin", "", standinSettings())
	if err != nil {
		return 0, 0, err
	}
	defer killProcess(platform)
	if err := acceptInitialConfiguration(organisations); err != nil {
		return 0, 0, err
	}
	var controllers []*exec.Cmd
	for i := range processHosts {
		c, err := startProcess(folder, filepath.Join(binaries, "zinnia-controller"), fmt.Sprint("controller-", i), limit, controllerSettings(i))
		if err != nil {
			return 0, 0, err
		}
		defer killProcess(c)
		controllers = append(controllers, c)
	}
	time.Sleep(processWarmUp)
	before := processorSeconds(controllers)
	time.Sleep(processWarmUp)
	spent := processorSeconds(controllers) - before
	for _, c := range controllers {
		kilobytes += residentOf(c.Process.Pid) / processHosts
	}
	return kilobytes, 100 * spent / processWarmUp.Seconds() / processHosts, nil
}

// startProcess writes the settings to a file and starts a program with it and
// with the environment setting, if any.
func startProcess(folder, program, name, environment string, content any) (*exec.Cmd, error) {
	raw, err := json.Marshal(content)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(program, "--settings", path)
	c.Stdout, c.Stderr = log, log
	c.Env = os.Environ()
	if environment != "" {
		c.Env = append(c.Env, environment)
	}
	return c, c.Start()
}

// killProcess kills a process and waits for it.
func killProcess(c *exec.Cmd) {
	_ = c.Process.Kill()
	_ = c.Wait()
}

// platformURL is the base URL of the simulated platform.
const platformURL = "http://" + processNetwork + "100:8500"

// standinSettings returns the settings of the simulated platform. Its host list
// has all targets of the design size; only engines of the first region run.
func standinSettings() *settings.Standin {
	s := &settings.Standin{Platform: &settings.StandinPlatform{Address: strings.TrimPrefix(platformURL, "http://")}}
	s.Log.Level = "error"
	answering := 0
	for i := range designTargets {
		t := targetOf(i)
		if zoneOf(i).Region == zoneOf(0).Region && answering < processEngines {
			t.Address = fmt.Sprintf("%s101:%d", processNetwork, 20_000+i)
			s.Engines = append(s.Engines, settings.StandinEngine{ID: t.ID, Address: t.Address, Models: []string{modelName(i)}})
			answering++
		}
		s.Platform.Hosts = append(s.Platform.Hosts, settings.StandinHost{ID: "server-" + string(t.ID), Zone: t.Zone,
			Target: &settings.StandinTarget{ID: t.ID, Kind: target.Engine, Class: t.Class, Pool: t.Pool, Address: t.Address}})
	}
	return s
}

// controllerSettings returns the settings of the controller of the i-th host.
func controllerSettings(i int) *settings.Controller {
	c := &settings.Controller{Links: fmt.Sprintf("%s%d:7000", processNetwork, i+1)}
	c.Host, c.Zone, c.Region = fmt.Sprint("host-", i), zoneOf(0).Name, zoneOf(0).Region
	c.Operators = fmt.Sprintf("%s%d:9081", processNetwork, i+1)
	c.Log.Level = "error"
	c.TLS.Plaintext = true
	c.Platform = settings.Platform{Objects: platformURL, Targets: platformURL, Usage: platformURL, Hosts: platformURL}
	for j := range processHosts {
		c.Seeds = append(c.Seeds, fmt.Sprintf("%s%d:7000", processNetwork, j+1))
	}
	return c
}

// acceptInitialConfiguration accepts a configuration. It retries for about
// 5 s until the platform is up.
func acceptInitialConfiguration(organisations int) error {
	s := httpstore.New(platformURL, 5*time.Second)
	fleet := fleetDescription()
	p := configuration.Proposal{ID: "first", Author: "operator", Summary: "first", Fleet: &fleet, Contracts: contractsOf(organisations)}
	var err error
	for range 50 {
		if _, err = configuration.Accept(context.Background(), s, p, time.Now()); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

// residentOf returns the resident size of a process in kB, or 0 if it is not
// known.
func residentOf(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			size, _ := strconv.ParseFloat(fields[1], 64)
			return size
		}
	}
	return 0
}

// ticksPerSecond is the number of clock ticks in a second; /proc gives
// processor time in ticks.
const ticksPerSecond = 100

// processorSeconds returns the total processor time of processes in seconds.
func processorSeconds(commands []*exec.Cmd) float64 {
	sum := 0.0
	for _, c := range commands {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Process.Pid))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		sum += (user + system) / ticksPerSecond
	}
	return sum
}
