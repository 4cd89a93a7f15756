package fleet

import "fescuelanding/fleet/record"

func headMessage(h head) *record.SnapshotHead {
	return &record.SnapshotHead{
		ConfigOffset:   h.configOffset,
		EntryFloor:     h.lastEntryRemoval,
		RecallFloor:    h.lastRecallRemoval,
		WaveFloor:      h.lastWaveRemoval,
		CheckpointAt:   h.checkpoint.at,
		CheckpointFrom: h.checkpoint.from,
		PendingAt:      h.checkpoint.pendingAt,
		PendingFrom:    h.checkpoint.pendingFrom,
		PendingNext:    h.checkpoint.pendingNext,
		PendingChunks:  h.checkpoint.pendingChunks,
	}
}

func headOf(m *record.SnapshotHead) head {
	return head{
		configOffset:      m.GetConfigOffset(),
		lastEntryRemoval:  m.GetEntryFloor(),
		lastRecallRemoval: m.GetRecallFloor(),
		lastWaveRemoval:   m.GetWaveFloor(),
		checkpoint: checkpointProgress{
			at:            m.GetCheckpointAt(),
			from:          m.GetCheckpointFrom(),
			pendingAt:     m.GetPendingAt(),
			pendingFrom:   m.GetPendingFrom(),
			pendingNext:   m.GetPendingNext(),
			pendingChunks: m.GetPendingChunks(),
		},
	}
}

// fillHost sets every field of the message, so that the message can be reused.
func fillHost(m *record.HostState, h Host) {
	m.Name = h.name
	m.Pool = h.pool
	m.MovingTo = h.movingTo
	m.Duty = uint32(h.duty)
	m.Cause = h.cause
	m.CauseId = h.causeID
	m.Step = h.step
	m.Waiting = h.waiting
	m.Basis = h.basis
	m.MaintainedAtUnixMs = h.maintainedUnixMs
	m.MaintainedOffset = h.maintainedOffset
	m.RepairedBatch = h.repairedBatch
	m.IntentBasis = h.intent.basis
	m.DrainWanted = h.intent.drain
	m.PoolWanted = h.intent.toPool
}

func hostMessage(h Host) *record.HostState {
	m := new(record.HostState)
	fillHost(m, h)
	return m
}

func hostOf(m *record.HostState) Host {
	return Host{
		name:             m.GetName(),
		pool:             m.GetPool(),
		movingTo:         m.GetMovingTo(),
		duty:             Duty(m.GetDuty()),
		cause:            m.GetCause(),
		causeID:          m.GetCauseId(),
		step:             m.GetStep(),
		waiting:          m.GetWaiting(),
		basis:            m.GetBasis(),
		maintainedUnixMs: m.GetMaintainedAtUnixMs(),
		maintainedOffset: m.GetMaintainedOffset(),
		repairedBatch:    m.GetRepairedBatch(),
		intent: Intent{
			basis:  m.GetIntentBasis(),
			drain:  m.GetDrainWanted(),
			toPool: m.GetPoolWanted(),
		},
	}
}

func entryMessage(e Entry) *record.EntryState {
	return &record.EntryState{
		Name:         e.name,
		Incarnation:  e.incarnation,
		DataCentre:   e.dataCentre,
		PeerAddress:  e.peerAddress,
		AdminAddress: e.adminAddress,
		Leaving:      e.leaving,
		Suspect:      e.suspect,
		Registered:   e.registered,
		Basis:        e.basis,
	}
}

func entryOf(m *record.EntryState) Entry {
	return Entry{
		name:         m.GetName(),
		incarnation:  m.GetIncarnation(),
		dataCentre:   m.GetDataCentre(),
		peerAddress:  m.GetPeerAddress(),
		adminAddress: m.GetAdminAddress(),
		leaving:      m.GetLeaving(),
		suspect:      m.GetSuspect(),
		registered:   m.GetRegistered(),
		basis:        m.GetBasis(),
	}
}

func ownerMessage(o Owner) *record.OwnerState {
	return &record.OwnerState{
		Key:         o.key,
		Entry:       o.entry,
		Incarnation: o.incarnation,
		Term:        o.term,
		Witness:     o.witness,
	}
}

func ownerOf(m *record.OwnerState) Owner {
	return Owner{
		key:         m.GetKey(),
		entry:       m.GetEntry(),
		incarnation: m.GetIncarnation(),
		term:        m.GetTerm(),
		witness:     m.GetWitness(),
	}
}

func recallMessage(r recall) *record.RecallState {
	return &record.RecallState{Name: r.name, Batch: r.batch, Offset: r.offset}
}

func recallOf(m *record.RecallState) recall {
	return recall{name: m.GetName(), batch: m.GetBatch(), offset: m.GetOffset()}
}

func waveMessage(w wave) *record.WaveState {
	return &record.WaveState{Name: w.name, Pools: w.pools, Offset: w.offset}
}

func waveOf(m *record.WaveState) wave {
	return wave{name: m.GetName(), pools: m.GetPools(), offset: m.GetOffset()}
}
