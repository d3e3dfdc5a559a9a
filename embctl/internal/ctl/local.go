package ctl

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"embertally.dev/core/certs"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
)

// addLocalCommands adds the commands that need no daemon.
func (p *program) addLocalCommands(app *kingpin.Application) {
	keys := app.Command("keys", "Keys of callers and operators.")
	p.addCommand(keys.Command("new", "Print a new key and its sum. Give the key to its owner and put the sum into the configuration."), p.printNewKey)
	p.addCommand(keys.Command("hash", "Read a key from standard input and print its sum."), func() error { return p.printKeyHash(os.Stdin) })

	certsCmd := app.Command("certs", "Certificates for sites without an authority of their own.")
	initCmd := certsCmd.Command("init", "Make an authority in a folder.")
	initDir := initCmd.Flag("dir", "The folder; it must exist.").Required().String()
	p.addCommand(initCmd, func() error {
		a, err := certs.NewAuthority(*initDir)
		if err == nil {
			fmt.Fprintln(p.out, "wrote", a.CAFile())
		}
		return err
	})
	issue := certsCmd.Command("issue", "Make the certificate of a box.")
	issueDir := issue.Flag("dir", "The authority's folder.").Required().String()
	issueName := issue.Flag("name", "Name of the box, as in the box list.").Required().String()
	issueIP := issue.Flag("ip", "IP number of the box; may be given several times.").Strings()
	p.addCommand(issue, func() error { return p.issueCertificate(*issueDir, *issueName, *issueIP) })

	p.addCommand(app.Command("events", "Print the catalogue of all events."), p.printCatalogue)
}

// printNewKey prints a new key and its hash.
func (p *program) printNewKey() error {
	key := certs.NewKey()
	fmt.Fprintf(p.out, "key %s\nsum %s\n", key, conf.HashKey(key))
	return nil
}

// maxKeyBytes bounds the input from which a key is read.
const maxKeyBytes = 4096

// printKeyHash prints the hash of the key in the input.
func (p *program) printKeyHash(in io.Reader) error {
	raw, err := io.ReadAll(io.LimitReader(in, maxKeyBytes))
	if err != nil {
		return errors.WithStack(err)
	}
	key := strings.TrimSpace(string(raw))
	if key == "" {
		return errors.New("standard input holds no key")
	}
	fmt.Fprintln(p.out, conf.HashKey(key))
	return nil
}

// issueCertificate creates the certificate and private key of a box.
func (p *program) issueCertificate(dir, name string, ips []string) error {
	a, err := certs.OpenAuthority(dir)
	if err != nil {
		return err
	}
	var list []net.IP
	for _, text := range ips {
		ip := net.ParseIP(text)
		if ip == nil {
			return errors.Errorf("--ip %s is not an IP number", text)
		}
		list = append(list, ip)
	}
	cert, key, err := a.Issue(name, list...)
	if err == nil {
		fmt.Fprintf(p.out, "wrote %s and %s\n", cert, key)
	}
	return err
}

// printCatalogue prints all events that daemons can log.
func (p *program) printCatalogue() error {
	for _, e := range event.Catalogue() {
		fmt.Fprintf(p.out, "%d %-18s %-8s %s\n", e.Code, e.Name, e.Level, e.Meaning)
	}
	return nil
}
