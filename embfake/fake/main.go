package fake

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	app := kingpin.New("embfake", "Small stand-ins for engines, stores, services and the platform.\n\nExample:\n  embfake site --dir /tmp/site --daemons 3 --engines 3\n\nExit codes: 0 stopped by a signal, 1 failed, 2 wrong command line.")
	app.Terminate(nil)
	site := app.Command("site", "Run a whole set of stand-ins and write the settings and resources for it.")
	var o SiteOptions
	preset := site.Flag("deployment", "Take the sizes of a deployment of today: abonamente or cascade.").String()
	dir := site.Flag("dir", "Folder that receives the files; it must exist.").Required().String()
	site.Flag("daemons", "Entry boxes to write settings for.").IntVar(&o.Daemons)
	site.Flag("engines", "Model engines.").IntVar(&o.Engines)
	site.Flag("stores", "Store boxes.").IntVar(&o.Stores)
	site.Flag("services", "Instances of the plain service.").IntVar(&o.Services)
	site.Flag("domains", "Failure domains.").IntVar(&o.Domains)
	site.Flag("organisations", "Organisations.").IntVar(&o.Organisations)
	placement := site.Flag("placement", "How the daemons choose workers.").String()
	site.Flag("logLevel", "Least severity of the daemons' log lines.").StringVar(&o.LogLevel)
	plain := site.Flag("plain", "Leave TLS out.").Bool()
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintln(os.Stderr, "embfake:", err)
		return exitUsage
	}
	if *preset != "" {
		var err error
		if o, err = SitePreset(*preset); err != nil {
			fmt.Fprintln(os.Stderr, "embfake:", err)
			return exitUsage
		}
	}
	o.Dir, o.Placement, o.Plain = *dir, *placement, *plain
	s, err := NewSite(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "embfake:", err)
		return exitFailed
	}
	defer s.Close()
	fmt.Println("stand-ins run; their addresses are in", o.Dir+"/site.json")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	return exitOK
}
