// Command drill plays controllers on the simulator's wire: batches on standard input, replies on standard output.
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

// run plays batches until the input ends. A reply is written whole or not at all.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	w := bufio.NewWriterSize(out, 1<<16)
	dec := &wire.Decoder{}
	// A killed controller stays known, with a nil value: what is still said to it is dropped.
	controllers := map[uint32]*tinbeam.Controller{}
	var reply []byte
	var actions []tinbeam.Action
	for frames := 0; ; frames++ {
		frame, err := wire.ReadFrame(r)
		if err == io.EOF {
			return nil
		}
		var batch wire.Batch
		if err == nil {
			batch, err = dec.Decode(frame)
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", frames, err)
		}
		reply = wire.BeginReply(reply)
		for i, rec := range batch.Records {
			if rec.Hello != nil {
				s, err := wire.ParseSettings(rec.Hello.Settings)
				if err != nil {
					return fmt.Errorf("frame %d: record %d, byte %d: %w", frames, i, rec.Offset, err)
				}
				controllers[rec.Controller] = tinbeam.New(s, rec.Hello.Seed)
				continue
			}
			c, known := controllers[rec.Controller]
			switch {
			case !known:
				return fmt.Errorf("frame %d: record %d, byte %d: unknown controller %d",
					frames, i, rec.Offset, rec.Controller)
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
			return fmt.Errorf("frame %d: reply: %w", frames, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("frame %d: reply: %w", frames, err)
		}
	}
}

// handle turns a panic of the module into a bail-out: a controller that has lost its footing must say so.
func handle(c *tinbeam.Controller, now time.Duration, e tinbeam.Event,
	dst []tinbeam.Action) (out []tinbeam.Action) {
	defer func() {
		if p := recover(); p != nil {
			out = append(dst[:0], tinbeam.BailOut{Text: fmt.Sprintf("%T: %v", e, p)})
		}
	}()
	return c.Handle(now, e, dst)
}
