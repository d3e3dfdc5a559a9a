// Package ctl owns the operators' command line.
//
// It must not know more of the daemons than their resource API.
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
	// exitPending says that a change is committed but not yet in force
	// everywhere.
	exitPending = 4
)

// errPending says that a change is not yet in force everywhere.
var errPending = errors.New("a change is not yet in force everywhere")

// command is one verb of the command line.
type command struct {
	clause *kingpin.CmdClause
	run    func() error
}

// program is one run of the command line.
type program struct {
	out      io.Writer
	client   *client
	servers  []string
	keyFile  string
	ca       string
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
	p.resources(app)
	p.fleet(app)
	p.local(app)
	p.calibration(app)
	selected, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(errs, "embctl:", err)
		return exitUsage
	}
	for _, c := range p.commands {
		if c.clause.FullCommand() == selected {
			return p.finish(c.run(), errs)
		}
	}
	return exitOK
}

func (p *program) finish(err error, errs io.Writer) int {
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

func (p *program) add(clause *kingpin.CmdClause, run func() error) {
	p.commands = append(p.commands, command{clause, run})
}

// remote makes run reach the daemons.
func (p *program) remote(run func() error) func() error {
	return func() error {
		if len(p.servers) == 0 {
			return errors.New("name a daemon with --server")
		}
		c, err := newClient(p.servers, p.keyFile, p.ca)
		if err != nil {
			return err
		}
		if c.key == "" {
			return errors.Errorf("set %s or --keyFile", keyVariable)
		}
		p.client = c
		return run()
	}
}
