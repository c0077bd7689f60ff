package peer

import (
	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/platform"
)

func rowsOut(rows []platform.Row) []*Row {
	out := make([]*Row, len(rows))
	for ix, rw := range rows {
		out[ix] = &Row{Table: string(rw.Table), Key: rw.Key, Version: uint64(rw.Version), Value: rw.Value, Deleted: rw.Deleted}
	}
	return out
}

func rowsIn(rows []*Row) []platform.Row {
	in := make([]platform.Row, len(rows))
	for ix, rw := range rows {
		in[ix] = platform.Row{Table: platform.TableName(rw.Table), Key: rw.Key, Version: platform.Version(rw.Version), Value: rw.Value, Deleted: rw.Deleted}
	}
	return in
}

func membersOut(members map[platform.InstanceID]platform.Member) []*Member {
	out := make([]*Member, 0, len(members))
	for _, mb := range members {
		out = append(out, &Member{Id: string(mb.ID), Role: string(mb.Role), State: string(mb.State), Hall: string(mb.Hall), Address: mb.Address})
	}
	return out
}

func membersIn(members []*Member) []platform.Member {
	in := make([]platform.Member, len(members))
	for ix, mb := range members {
		in[ix] = platform.Member{ID: platform.InstanceID(mb.Id), Role: platform.Role(mb.Role), State: platform.MemberState(mb.State), Hall: platform.HallID(mb.Hall), Address: mb.Address}
	}
	return in
}

func answerOut(an *endpoint.Answer) *Answer {
	return &Answer{Status: int32(an.Status), Header: headersOut(an.Header), Body: an.Body}
}

func answerIn(an *Answer) *endpoint.Answer {
	return &endpoint.Answer{Status: int(an.Status), Header: headersIn(an.Header), Body: an.Body}
}
