// Command drill runs controllers for the simulator: it reads batches of events in the simulator's wire format from standard
// input and writes the controllers' actions as replies to standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"tinbeam"
	"tinbeam/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// run handles batches until the input ends. Each reply is written whole or not at all.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	w := bufio.NewWriterSize(out, 1<<16)
	decoder := &wire.Decoder{}
	// A killed controller stays in the map with a nil value, and events that are still sent to it are dropped.
	controllers := map[uint32]*tinbeam.Controller{}
	var reply []byte
	var actions []tinbeam.Action
	for frameNum := 0; ; frameNum++ {
		frame, err := wire.ReadFrame(r)
		if err == io.EOF {
			return nil
		}
		var batch wire.Batch
		if err == nil {
			batch, err = decoder.Decode(frame)
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", frameNum, err)
		}
		reply = wire.BeginReply(reply)
		for i, rec := range batch.Records {
			if rec.Hello != nil {
				s, err := wire.ParseSettings(rec.Hello.Settings)
				if err != nil {
					return fmt.Errorf("frame %d: record %d, byte %d: %w", frameNum, i, rec.Offset, err)
				}
				controllers[rec.Controller] = tinbeam.New(s, rec.Hello.Seed)
				continue
			}
			c, known := controllers[rec.Controller]
			switch {
			case !known:
				return fmt.Errorf("frame %d: record %d, byte %d: unknown controller %d",
					frameNum, i, rec.Offset, rec.Controller)
			case rec.Killed:
				controllers[rec.Controller] = nil
				continue
			case c == nil:
				continue
			}
			actions = handle(c, batch.Clock, rec.Event, actions[:0])
			for _, a := range actions {
				reply = wire.AppendAction(reply, rec.Controller, a)
			}
		}
		if _, err := w.Write(wire.EndReply(reply)); err != nil {
			return fmt.Errorf("frame %d: reply: %w", frameNum, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("frame %d: reply: %w", frameNum, err)
		}
	}
}

// handle passes an event to a controller and returns its actions. If the decision module panics, it returns a BailOut action
// instead, which reports that the controller cannot continue.
func handle(c *tinbeam.Controller, now time.Duration, e tinbeam.Event,
	dst []tinbeam.Action) (out []tinbeam.Action) {
	defer func() {
		if p := recover(); p != nil {
			out = append(dst[:0], tinbeam.BailOut{Text: fmt.Sprintf("%T: %v", e, p)})
		}
	}()
	return c.Handle(now, e, dst)
}
