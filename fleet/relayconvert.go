package fleet

import (
	"time"

	"github.com/aspenseam/aspenseam/cell"
	"github.com/aspenseam/aspenseam/job"
	"github.com/aspenseam/aspenseam/peer"
)

// toRelayTask converts a task to its wire form.
func toRelayTask(tk job.Task) *peer.RelayTask {
	return &peer.RelayTask{Job: string(tk.Job), Run: int32(tk.Run), Step: int32(tk.Step), Index: int32(tk.Index)}
}

// fromRelayTask converts a task from its wire form.
func fromRelayTask(rt *peer.RelayTask) job.Task {
	return job.Task{Job: job.ID(rt.GetJob()), Run: int(rt.GetRun()), Step: int(rt.GetStep()), Index: int(rt.GetIndex())}
}

// toRelayOrder converts an order for a worker to its wire form; nil for orders that are not for workers.
func toRelayOrder(id uint64, od cell.Order) *peer.RelayOrder {
	switch order := od.(type) {
	case cell.Poll:
		return &peer.RelayOrder{
			Id: id, Kind: peer.OrderKind_ORDER_LOOK, Worker: string(order.Worker), Address: order.Address, Token: int64(order.Token),
			Until: order.LeaseUntil, Observed: order.AckedEnd, WaitMillis: order.Wait.Milliseconds(),
		}
	case cell.Start:
		return &peer.RelayOrder{
			Id: id, Kind: peer.OrderKind_ORDER_START, Worker: string(order.Worker), Address: order.Address, Token: int64(order.Token), Task: toRelayTask(order.Task),
			Attempt: int32(order.Attempt), Payload: order.Payload, PayloadAt: order.PayloadAt, Until: order.LeaseUntil, Checkpoint: string(order.Checkpoint), Ticket: order.Ticket,
			Hall: string(order.Hall),
		}
	case cell.Stop:
		return &peer.RelayOrder{
			Id: id, Kind: peer.OrderKind_ORDER_STOP, Worker: string(order.Worker), Address: order.Address, Token: int64(order.Token), Task: toRelayTask(order.Task), Attempt: int32(order.Attempt),
		}
	case cell.Throttle:
		return &peer.RelayOrder{
			Id: id, Kind: peer.OrderKind_ORDER_PACE, Worker: string(order.Worker), Address: order.Address, Token: int64(order.Token), Task: toRelayTask(order.Task),
			Attempt: int32(order.Attempt), Percent: int32(order.Percent),
		}
	}
	return nil
}

// fromRelayOrder converts an order from its wire form; nil if its kind is unknown.
func fromRelayOrder(ro *peer.RelayOrder) cell.Order {
	id, token, attempt := cell.WorkerID(ro.Worker), cell.Token(ro.Token), job.Attempt(ro.Attempt)
	switch ro.Kind {
	case peer.OrderKind_ORDER_LOOK:
		return cell.Poll{Worker: id, Address: ro.Address, Token: token, LeaseUntil: ro.Until, AckedEnd: ro.Observed, Wait: time.Duration(ro.WaitMillis) * time.Millisecond}
	case peer.OrderKind_ORDER_START:
		return cell.Start{
			Worker: id, Address: ro.Address, Token: token, Task: fromRelayTask(ro.Task), Attempt: attempt,
			Payload: ro.Payload, PayloadAt: ro.PayloadAt, LeaseUntil: ro.Until, Checkpoint: job.Checkpoint(ro.Checkpoint), Ticket: ro.Ticket,
			Hall: job.HallID(ro.Hall),
		}
	case peer.OrderKind_ORDER_STOP:
		return cell.Stop{Worker: id, Address: ro.Address, Token: token, Task: fromRelayTask(ro.Task), Attempt: attempt}
	case peer.OrderKind_ORDER_PACE:
		return cell.Throttle{Worker: id, Address: ro.Address, Token: token, Task: fromRelayTask(ro.Task), Attempt: attempt, Percent: int(ro.Percent)}
	}
	return nil
}

// toRelayPollResult converts the result of a poll to its wire form.
func toRelayPollResult(id uint64, lk cell.PollResult) *peer.RelayResult {
	result := &peer.RelayResult{Id: id, Outcome: int32(lk.Outcome), Clock: lk.Clock}
	for _, rn := range lk.Running {
		result.Running = append(result.Running, &peer.RelayRunning{
			Task: toRelayTask(rn.Task), Attempt: int32(rn.Attempt), Checkpoint: string(rn.Checkpoint), Progress: int32(rn.Progress), Figure: int32(rn.Metric),
		})
	}
	for _, en := range lk.Ended {
		result.Ended = append(result.Ended, &peer.RelayEnd{
			Number: en.Number, Task: toRelayTask(en.Task), Attempt: int32(en.Attempt), How: string(en.Reason), Checkpoint: string(en.Checkpoint),
		})
	}
	return result
}

// fromRelayPollResult converts the result of a poll from its wire form. The send time is when the order was submitted to the
// peer, and the receive time is when the result arrived, less the time it was held at the peer. The clocks of two processes can't
// be compared; the errors of both times make leases end earlier and conclusions later.
func fromRelayPollResult(rr *peer.RelayResult, order cell.Poll, sentAt, arrivedAt time.Time) cell.PollResult {
	lk := cell.PollResult{Poll: order, Outcome: fromRelayOutcome(rr), Sent: sentAt, Received: receivedAt(rr, arrivedAt), Clock: rr.Clock}
	for _, rn := range rr.Running {
		lk.Running = append(lk.Running, cell.Running{
			Task: fromRelayTask(rn.Task), Attempt: job.Attempt(rn.Attempt), Checkpoint: job.Checkpoint(rn.Checkpoint), Progress: int(rn.Progress), Metric: int(rn.Figure),
		})
	}
	for _, en := range rr.Ended {
		lk.Ended = append(lk.Ended, cell.End{
			Number: en.Number, Task: fromRelayTask(en.Task), Attempt: job.Attempt(en.Attempt), Reason: cell.EndReason(en.How), Checkpoint: job.Checkpoint(en.Checkpoint),
		})
	}
	return lk
}

// fromRelayOrderResult converts the result of any other order from its wire form.
func fromRelayOrderResult(rr *peer.RelayResult, order cell.Order, sentAt, arrivedAt time.Time) cell.OrderResult {
	return cell.OrderResult{Order: order, Outcome: fromRelayOutcome(rr), Sent: sentAt, Received: receivedAt(rr, arrivedAt), Clock: rr.Clock}
}

func receivedAt(rr *peer.RelayResult, arrivedAt time.Time) time.Time {
	return arrivedAt.Add(-time.Duration(rr.HeldMicros) * time.Microsecond)
}

// fromRelayOutcome converts an outcome; an unknown one counts as no answer.
func fromRelayOutcome(rr *peer.RelayResult) cell.Outcome {
	oc := cell.Outcome(rr.Outcome)
	if oc < cell.NoAnswer || oc > cell.PayloadMissing {
		return cell.NoAnswer
	}
	return oc
}
