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

func (p *program) local(app *kingpin.Application) {
	keys := app.Command("keys", "Keys of callers and operators.")
	p.add(keys.Command("new", "Print a new key and its sum. Give the key to its owner and put the sum into the configuration."), p.newKey)
	p.add(keys.Command("hash", "Read a key from standard input and print its sum."), func() error { return p.hashKey(os.Stdin) })

	cert := app.Command("certs", "Certificates for sites without an authority of their own.")
	init := cert.Command("init", "Make an authority in a folder.")
	initDir := init.Flag("dir", "The folder; it must exist.").Required().String()
	p.add(init, func() error {
		a, err := certs.NewAuthority(*initDir)
		if err == nil {
			fmt.Fprintln(p.out, "wrote", a.CAFile())
		}
		return err
	})
	issue := cert.Command("issue", "Make the certificate of a box.")
	issueDir := issue.Flag("dir", "The authority's folder.").Required().String()
	issueName := issue.Flag("name", "Name of the box, as in the box list.").Required().String()
	issueIP := issue.Flag("ip", "IP number of the box; may be given several times.").Strings()
	p.add(issue, func() error { return p.issue(*issueDir, *issueName, *issueIP) })

	p.add(app.Command("events", "Print the catalogue of all events."), p.catalogue)
}

func (p *program) newKey() error {
	key := certs.NewKey()
	fmt.Fprintf(p.out, "key %s\nsum %s\n", key, conf.HashKey(key))
	return nil
}

// maxKey bounds a key that is read.
const maxKey = 4096

func (p *program) hashKey(in io.Reader) error {
	raw, err := io.ReadAll(io.LimitReader(in, maxKey))
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

func (p *program) issue(dir, name string, ips []string) error {
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

func (p *program) catalogue() error {
	for _, e := range event.Catalogue() {
		fmt.Fprintf(p.out, "%d %-18s %-8s %s\n", e.Code, e.Name, e.Level, e.Meaning)
	}
	return nil
}
