// Package ctl owns the operators' command line.
//
// It must not know more of the daemons than their operators' API and the form of
// their log lines.
package ctl

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"embertally.dev/core/conf"
)

// Exit codes of embctl.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 3
	// exitPending means that a change is committed but not yet applied by all
	// daemons.
	exitPending = 4
)

// errPending reports that a change is committed but not yet applied by all daemons.
var errPending = errors.New("a change is not yet in force everywhere")

// command is one command of the command line.
type command struct {
	clause *kingpin.CmdClause
	run    func() error
}

// program is one execution of the command line.
type program struct {
	out      io.Writer
	client   *client  // set by withClient
	servers  []string // base URLs of daemons
	keyFile  string   // path; empty for the environment variable
	ca       string   // path; empty for the system's authorities
	commands []command
}

const help = `The operators' command line.

The operator's key is taken from the environment variable EMBERTALLY_KEY, or from --keyFile.

Examples:
  embctl --server https://10.0.0.1:7002 --ca ca.pem apply -f resources.yaml
  embctl --server https://10.0.0.1:7002 --ca ca.pem status
  embctl --server https://10.0.0.1:7002 --ca ca.pem explain 6f1c...

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 refused by the daemon, 4 committed but not yet in force everywhere.`

// Main runs the command line and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	p := &program{out: out}
	app := kingpin.New("embctl", help)
	app.Terminate(nil)
	app.UsageWriter(errs)
	app.Flag("server", "Base URL of a daemon's operators' side; may be given several times.").Envar("EMBERTALLY_SERVER").StringsVar(&p.servers)
	app.Flag("keyFile", "File with the operator's key.").StringVar(&p.keyFile)
	app.Flag("ca", "File with the certificate that signs the daemons' certificates.").Envar("EMBERTALLY_CA").StringVar(&p.ca)
	p.addResourceCommands(app)
	p.addFleetCommands(app)
	p.addLocalCommands(app)
	p.addCalibrationCommand(app)
	selected, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(errs, "embctl:", err)
		return exitUsage
	}
	for _, c := range p.commands {
		if c.clause.FullCommand() == selected {
			return p.exitCode(c.run(), errs)
		}
	}
	return exitOK
}

// exitCode prints an error and returns the exit code for it.
func (p *program) exitCode(err error, errs io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errs, "embctl:", err)
	var rej *conf.Rejection
	switch {
	case errors.As(err, &rej):
		return exitRefused
	case errors.Is(err, errPending):
		return exitPending
	}
	return exitFailed
}

// addCommand registers what a command runs.
func (p *program) addCommand(clause *kingpin.CmdClause, run func() error) {
	p.commands = append(p.commands, command{clause, run})
}

// withClient wraps run so that the client is set up first.
func (p *program) withClient(run func() error) func() error {
	return func() error {
		if len(p.servers) == 0 {
			return errors.New("name a daemon with --server")
		}
		c, err := newClient(p.servers, p.keyFile, p.ca)
		if err != nil {
			return err
		}
		if c.key == "" {
			return errors.Errorf("set %s or --keyFile", keyEnv)
		}
		p.client = c
		return run()
	}
}
