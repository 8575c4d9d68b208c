package saddlemain

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// watchReloadSignal calls reload on every SIGHUP until stop is called, and logs the result.
// After an error the previous settings stay in force.
func watchReloadSignal(logs io.Writer, reload func() error) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-signals:
			}
			err := reload()
			if err == nil {
				_, _ = fmt.Fprintf(logs, `{"level":"info","time":%q,"message":"settings file reloaded; a role that applies the new settings logs it"}`+"\n",
					time.Now().UTC().Format(time.RFC3339))
			} else {
				_, _ = fmt.Fprintf(logs, `{"level":"error","time":%q,"error":%q,"message":"settings not reloaded; the previous ones stay in force"}`+"\n",
					time.Now().UTC().Format(time.RFC3339), err.Error())
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}
