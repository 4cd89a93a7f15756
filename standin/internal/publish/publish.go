// Package publish puts a configuration into the log for measurements, without
// waiting for the entries.
//
//	err := publish.Publish(ctx, "http://127.0.0.1:7100", config)
package publish

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

// Publisher appends changes of the configuration, as a writer that has read
// the whole log. The zero value has read nothing.
type Publisher struct {
	// Platform is the client of the log.
	Platform *platform.Client

	state fleet.State
}

// Publish appends what leads from the configuration in force to another, and
// returns the offset and the bytes of the record.
func (p *Publisher) Publish(ctx context.Context, to config.Config) (offset uint64, size int, err error) {
	if err := p.read(ctx); err != nil {
		return 0, 0, err
	}
	r := &record.Record{
		Id: record.NewID(), Writer: "measurement", Basis: p.state.ConfigOffset(),
		AtUnixMs: time.Now().UnixMilli(),
		Body:     &record.Record_ConfigChange{ConfigChange: p.state.Config().Diff(to)},
	}
	b, err := proto.Marshal(r)
	if err != nil {
		return 0, 0, fmt.Errorf("encode change: %w", err)
	}
	o, err := p.Platform.AppendRecord(ctx, "fleet", p.state.Offset(), b, func(d []byte) bool { return bytes.Equal(d, b) })
	if err != nil {
		return 0, 0, fmt.Errorf("append change: %w", err)
	}
	return o, len(b), nil
}

// State returns the state as it was read last.
func (p *Publisher) State() *fleet.State { return &p.state }

// read applies the log up to its head.
func (p *Publisher) read(ctx context.Context) error {
	for {
		b, err := p.Platform.Read(ctx, "fleet", p.state.Offset()+1, 0)
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		for _, r := range b.Records() {
			var v record.Record
			if err := proto.Unmarshal(r.Data(), &v); err != nil {
				return fmt.Errorf("decode record: %w", err)
			}
			_ = p.state.Apply(r.Offset(), &v)
		}
		if p.state.Offset() >= b.Head() {
			return nil
		}
	}
}
