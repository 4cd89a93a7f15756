// Package publish appends configuration changes to the log for measurements,
// without waiting until the entries apply them.
//
//	p := publish.Publisher{Platform: platform.New("http://127.0.0.1:7100")}
//	offset, size, err := p.Publish(ctx, config)
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

// Publisher appends configuration changes to the log. Before each append it
// reads the log up to the head. A Publisher with only Platform set is ready to
// use and begins with an empty state.
type Publisher struct {
	// Platform is the client of the log.
	Platform *platform.Client

	state fleet.State
}

// Publish appends the difference between the configuration in force and to. It
// returns the offset of the record and its size in bytes.
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

// State returns the state up to the last record read from the log.
func (p *Publisher) State() *fleet.State { return &p.state }

// read reads the log up to its head and applies its records to the state.
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
