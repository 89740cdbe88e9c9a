// Package operator implements zinniactl, the command line tool of operators. Its
// commands are contract, key, config, status, release, drain and explain. The fields
// and tags of the structs in this package declare the command line, which go-flags
// parses; cmd/zinniactl only calls Main.
package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/jessevdk/go-flags"

	"zinniapin/configuration"
	"zinniapin/result"
	"zinniapin/settings"
	"zinniapin/store"
)

// StatusReader requests status documents, in JSON, from controllers. Package controller
// declares the topics.
type StatusReader interface {
	// Status returns the document of the first controller that answers.
	Status(ctx context.Context, topic, argument string) ([]byte, error)
	// StatusOfAll asks all controllers in the settings concurrently and returns
	// their replies in the order of the settings.
	StatusOfAll(ctx context.Context, topic, argument string) []Reply
}

// Reply is the reply of one controller to a status request.
type Reply struct {
	Controller string // IP:port at which the controller accepts links
	JSON       []byte
	Err        error // with a result code, or nil
}

// Backend gives commands access to the object API and to the controllers.
type Backend struct {
	Store  store.Store
	Status StatusReader
	// Author is the operator's name. It is recorded with accepted changes and
	// released orders.
	Author  string
	Timeout time.Duration // of one proposal, release or status request
	Close   func()        // disconnects

	cachedBundle atomic.Pointer[configuration.Bundle] // configuration that was read last, or nil
}

// Connect returns a backend for the addresses in the settings.
type Connect func(s *settings.Operator) (*Backend, error)

// defaultSettingsFile is read when --settings is not given.
const defaultSettingsFile = "zinniactl.json"

// app holds the state that all commands share.
type app struct {
	out     io.Writer
	errOut  io.Writer // for errors, and for the log lines of release
	connect Connect
	now     func() time.Time
	options *options
}

// options are the options and commands of the whole command line.
type options struct {
	Settings string `long:"settings" env:"ZINNIACTL_SETTINGS" value-name:"FILE" description:"settings file"`
	JSON     bool   `long:"json" description:"print JSON for scripts in place of tables"`

	Contract contractCommands `command:"contract" description:"Show and change contracts"`
	Key      keyCommands      `command:"key" description:"Issue, withdraw and list keys"`
	Config   configCommands   `command:"config" description:"Check, apply and follow configurations"`
	Status   statusCommand    `command:"status" description:"Show hosts, targets, orders and more" long-description:"members, targets, config, grants and links are as one controller sees them; orders and windows are read from the object API; plans asks every controller.\nExample: zinniactl status targets"`
	Release  releaseCommand   `command:"release" description:"Release a stuck open order of another author" long-description:"Without --yes it shows the open order and changes nothing. Give --yes only after you have made sure that the order's author is gone for good. The release is logged, and status orders shows who did it.\nTARGET is an engine, or a unit as status orders lists it.\nExamples: zinniactl release engine-3\n  zinniactl release platform/assistant/riga-a --yes"`
	Drain    drainCommand     `command:"drain" description:"Send no new work to a target, or end that with --lift" long-description:"Example: zinniactl drain engine-3"`
	Explain  explainCommand   `command:"explain" description:"Show how a request was routed, and why" long-description:"Without files it asks the gateways, which remember recent requests. With log files of nodes it prints one timeline of the request at all hosts, with the events of those hosts around that time in brackets; no settings are needed.\nExamples: zinniactl explain 1f0c9a6b2d7e4c55\n  zinniactl explain 9c41d07be2a35f68 host-*.log"`
}

// bind sets the shared state in every command.
func (o *options) bind(a *app) {
	o.Contract.bind(a)
	o.Key.bind(a)
	o.Config.bind(a)
	o.Status.app = a
	o.Release.app = a
	o.Drain.app = a
	o.Explain.app = a
}

// Main runs a command line and returns the exit code.
func Main(args []string, out, errOut io.Writer, connect Connect) int {
	o := &options{Settings: defaultSettingsFile}
	o.bind(&app{out: out, errOut: errOut, connect: connect, now: time.Now, options: o})
	parser := flags.NewNamedParser("zinniactl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", o); err != nil {
		fmt.Fprintln(errOut, "error:", err)
		return result.Internal.Definition().Exit
	}
	_, err := parser.ParseArgs(args)
	return reportError(err, out, errOut, o.JSON)
}

// reportError prints the error of a command, or the help text that it asked for, and
// returns the exit code.
func reportError(err error, out, errOut io.Writer, asJSON bool) int {
	var flagError *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Fprintln(out, flagError.Message)
		return 0
	case errors.As(err, &flagError):
		err = result.New(result.BadUsage, "%s", flagError.Message)
	}
	if asJSON {
		printFailure(err, errOut)
	} else {
		fmt.Fprintln(errOut, "error:", err)
	}
	return result.CodeOf(err).Definition().Exit
}

// withBackend loads the settings, connects, calls f and disconnects.
func (a *app) withBackend(f func(ctx context.Context, b *Backend) error) error {
	var s settings.Operator
	if err := settings.Load(a.options.Settings, &s); err != nil {
		return err
	}
	b, err := a.connect(&s)
	if err != nil {
		return err
	}
	defer b.Close()
	return f(context.Background(), b)
}

// readFile reads an input file; "-" is standard input.
func readFile(path string) ([]byte, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, result.Wrap(err, result.NoSuchFile, "cannot read the file").At(path)
	}
	return data, nil
}
