package operator

import (
	"context"
	"fmt"
	"slices"

	"github.com/aspenseam/aspenseam/table"
)

// actionID returns the idempotency key of an action on the platform. The platform carries out one action per key and ignores repeats.
func actionID(pn *Plan, in *table.Instance, ac table.Action) string {
	return fmt.Sprintf("%s.%s.%d.%s", pn.ID, in.ID, in.Epoch, ac)
}

// execute performs the step that was decided on the given snapshot.
func (ex *Executor) execute(ctx context.Context, ip Input, sn *table.Snapshot, step Step) error {
	switch step {
	case StepClose:
		return ex.setPhase(ctx, ip, sn, table.PhaseClosing)
	case StepLeave:
		return ex.leave(ctx, ip, sn)
	case StepDrain:
		return ex.drain(ctx, ip, sn)
	case StepStop:
		return ex.stop(ctx, ip, sn)
	case StepJoin:
		return ex.join(ctx, ip, sn)
	case StepIdle:
		return ex.leaveIdle(ctx, ip, sn)
	}
	return nil
}

// act requests an action on an instance from the platform.
func (ex *Executor) act(ctx context.Context, in *table.Instance, ac table.Action, key string) error {
	ex.hook(fmt.Sprintf("act %s", ac))
	if err := ex.platform.Act(ctx, in.ID, ac, key); err != nil {
		return fmt.Errorf("act: %w", err)
	}
	return nil
}

// instanceWrite returns the write of an instance's row, conditional on the row's version in the snapshot of the decision.
func instanceWrite(sn *table.Snapshot, in table.Instance) table.Write {
	rw := sn.Rows[table.RowKey{Table: table.TableInstance, Key: string(in.ID)}]
	// Encoding cannot fail, since the instance was decoded from a row.
	raw, _ := table.Encode(in)
	return table.Write{Table: table.TableInstance, Key: string(in.ID), IfVersion: rw.Version, Value: raw}
}

// serviceWrites returns writes that change which instances of the services are disrupted by plans. Every such change writes the service's
// row, so that of two concurrent admissions one gets a conflict.
func serviceWrites(sn *table.Snapshot, services []table.ServiceID, change func([]table.InstanceID) []table.InstanceID) []table.Write {
	var writes []table.Write
	for _, id := range services {
		sv := sn.Services[id]
		if sv == nil {
			continue
		}
		next := sv.Service
		next.Disrupted = change(slices.Clone(sv.Disrupted))
		writes = append(writes, serviceWrite(sn, next))
	}
	return writes
}

// serviceWrite returns the write of a service's row, conditional on the row's version in the snapshot of the decision.
func serviceWrite(sn *table.Snapshot, sv table.Service) table.Write {
	rw := sn.Rows[table.RowKey{Table: table.TableService, Key: string(sv.ID)}]
	// Encoding cannot fail, since the service was decoded from a row.
	raw, _ := table.Encode(sv)
	return table.Write{Table: table.TableService, Key: string(sv.ID), IfVersion: rw.Version, Value: raw}
}

func withoutInstance(id table.InstanceID) func([]table.InstanceID) []table.InstanceID {
	return func(ids []table.InstanceID) []table.InstanceID {
		return slices.DeleteFunc(ids, func(other table.InstanceID) bool { return other == id })
	}
}

func withInstance(id table.InstanceID) func([]table.InstanceID) []table.InstanceID {
	return func(ids []table.InstanceID) []table.InstanceID {
		if slices.Contains(ids, id) {
			return ids
		}
		return append(ids, id)
	}
}

// setPhase moves an instance to a phase of the plan without changing its serving state.
func (ex *Executor) setPhase(ctx context.Context, ip Input, sn *table.Snapshot, phase table.Phase) error {
	next := *ip.Instance
	next.Hold = &table.Hold{Plan: ip.Plan.ID, Phase: phase, Since: ip.Now.UTC()}
	if ip.Instance.Hold != nil {
		next.Hold.Entries = ip.Instance.Hold.Entries
	}
	return ex.commit(ctx, ip.Plan, string(phase), string(next.ID), ex.planWrite(ip.Plan, nil), instanceWrite(sn, next))
}

// leave takes an instance out of service. One transaction changes the instance's state, records the disruption in its services and names
// the successors of its sessions.
func (ex *Executor) leave(ctx context.Context, ip Input, sn *table.Snapshot) error {
	next := *ip.Instance
	pin := table.Pin{Instance: next.ID, Epoch: next.Epoch}
	next.State = table.InstanceLeaving
	next.Epoch++
	next.Hold = &table.Hold{Plan: ip.Plan.ID, Phase: table.PhaseLeaving, Since: ip.Now.UTC()}
	for _, mb := range sn.Entries() {
		next.Hold.Entries = append(next.Hold.Entries, mb.ID)
	}
	move, err := table.Encode(table.Move{Pin: pin, Successors: ex.successorsWithFallback(ip, sn)})
	if err != nil {
		return err
	}
	writes := []table.Write{
		ex.planWrite(ip.Plan, nil),
		instanceWrite(sn, next),
		{Table: table.TableMove, Key: table.MoveKey(pin), Value: move},
	}
	writes = append(writes, serviceWrites(sn, next.Services, withInstance(next.ID))...)
	return ex.commit(ctx, ip.Plan, string(table.PhaseLeaving), string(next.ID), writes...)
}

// successorsWithFallback returns the successors of an instance's sessions. For a service without a preferred successor it accepts any
// serving instance: the usage report may lack a session, and moving that session again is better than losing it.
func (ex *Executor) successorsWithFallback(ip Input, sn *table.Snapshot) map[table.ServiceID][]table.Pin {
	successors := ex.successors(ip.Plan, sn, ip.Instance)
	fallback := sn.Successors(*ip.Instance, func(other *table.Instance) bool { return !sn.Gone(other.ID) })
	for service, pins := range fallback {
		if len(successors[service]) == 0 {
			successors[service] = pins
		}
	}
	return successors
}

// drain makes the worker itself refuse new work. Entry instances that have not received the instance's new state may still send it requests.
func (ex *Executor) drain(ctx context.Context, ip Input, sn *table.Snapshot) error {
	if err := ex.act(ctx, ip.Instance, table.ActionDrain, actionID(ip.Plan, ip.Instance, table.ActionDrain)); err != nil {
		return err
	}
	return ex.setPhase(ctx, ip, sn, table.PhaseDrained)
}

// stop requests the reboot or the stop of the instance.
func (ex *Executor) stop(ctx context.Context, ip Input, sn *table.Snapshot) error {
	ac := stopAction(ip.Plan)
	if err := ex.act(ctx, ip.Instance, ac, actionID(ip.Plan, ip.Instance, ac)); err != nil {
		return err
	}
	return ex.setPhase(ctx, ip, sn, table.PhaseStopped)
}

func stopAction(pn *Plan) table.Action {
	if pn.Intent.Kind == KindDrain {
		return table.ActionStop
	}
	return table.ActionReboot
}

// join puts an instance into service.
func (ex *Executor) join(ctx context.Context, ip Input, sn *table.Snapshot) error {
	if err := ex.endDrain(ctx, ip); err != nil {
		return err
	}
	next := *ip.Instance
	next.State, next.Hold, next.Done = table.InstanceServing, nil, ip.Plan.ID
	leftServices := next.Services
	if ip.Plan.Intent.Kind == KindMove && ip.Plan.Status == PlanRunning {
		next.Pool = ip.Plan.Intent.ToPool
		next.Services = sn.Pools[next.Pool].Services
	}
	writes := []table.Write{ex.planWrite(ip.Plan, nil), instanceWrite(sn, next)}
	writes = append(writes, serviceWrites(sn, leftServices, withoutInstance(next.ID))...)
	return ex.commit(ctx, ip.Plan, "serving", string(next.ID), writes...)
}

// endDrain makes the worker accept work again. It first uses up the idempotency keys of the drain and stop actions, so that an executor
// that was frozen before such an action cannot trigger it later.
func (ex *Executor) endDrain(ctx context.Context, ip Input) error {
	if ip.Instance.Hold == nil {
		return ex.act(ctx, ip.Instance, table.ActionAccept, actionID(ip.Plan, ip.Instance, table.ActionAccept))
	}
	if ip.Instance.Hold.Phase == table.PhaseClosing {
		return nil
	}
	for _, ac := range []table.Action{table.ActionDrain, stopAction(ip.Plan), table.ActionAccept} {
		if err := ex.act(ctx, ip.Instance, table.ActionAccept, actionID(ip.Plan, ip.Instance, ac)); err != nil {
			return err
		}
	}
	return nil
}

// leaveIdle leaves a stopped instance idle. Its services keep counting it as disrupted until an operator returns or moves it.
func (ex *Executor) leaveIdle(ctx context.Context, ip Input, sn *table.Snapshot) error {
	next := *ip.Instance
	next.State, next.Hold, next.Done = table.InstanceIdle, nil, ip.Plan.ID
	return ex.commit(ctx, ip.Plan, "idle", string(next.ID), ex.planWrite(ip.Plan, nil), instanceWrite(sn, next))
}
