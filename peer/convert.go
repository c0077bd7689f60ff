package peer

import (
	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/table"
)

func rowsOut(rows []table.Row) []*Row {
	out := make([]*Row, len(rows))
	for ix, rw := range rows {
		out[ix] = &Row{Table: string(rw.Table), Key: rw.Key, Version: uint64(rw.Version), Value: rw.Value, Deleted: rw.Deleted}
	}
	return out
}

func rowsIn(rows []*Row) []table.Row {
	in := make([]table.Row, len(rows))
	for ix, rw := range rows {
		in[ix] = table.Row{Table: table.TableName(rw.Table), Key: rw.Key, Version: table.Version(rw.Version), Value: rw.Value, Deleted: rw.Deleted}
	}
	return in
}

func membersOut(members map[table.InstanceID]table.Member) []*Member {
	out := make([]*Member, 0, len(members))
	for _, mb := range members {
		out = append(out, &Member{Id: string(mb.ID), Role: string(mb.Role), State: string(mb.State), Hall: string(mb.Hall), Address: mb.Address})
	}
	return out
}

func membersIn(members []*Member) []table.Member {
	in := make([]table.Member, len(members))
	for ix, mb := range members {
		in[ix] = table.Member{ID: table.InstanceID(mb.Id), Role: table.Role(mb.Role), State: table.MemberState(mb.State), Hall: table.HallID(mb.Hall), Address: mb.Address}
	}
	return in
}

func answerOut(an *endpoint.Answer) *Answer {
	return &Answer{Status: int32(an.Status), Header: headersOut(an.Header), Body: an.Body}
}

func answerIn(an *Answer) *endpoint.Answer {
	return &endpoint.Answer{Status: int(an.Status), Header: headersIn(an.Header), Body: an.Body}
}
