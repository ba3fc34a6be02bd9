// Package wire turns the words that backend servers speak (package engineapi)
// into those of our own messages (package pb) and back.
package wire

import (
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Kind gives a backend server's kind; all that is not plain is a model engine.
func Kind(k pb.ServerKind) string {
	if k == pb.ServerKind_SERVER_KIND_PLAIN {
		return engineapi.KindPlain
	}
	return engineapi.KindModel
}

// KindProto is Kind the other way.
func KindProto(kind string) pb.ServerKind {
	if kind == engineapi.KindPlain {
		return pb.ServerKind_SERVER_KIND_PLAIN
	}
	return pb.ServerKind_SERVER_KIND_MODEL
}

// Role gives an engine's role, empty for plain services.
func Role(role pb.EngineRole) engineapi.Role {
	switch role {
	case pb.EngineRole_ENGINE_ROLE_PREFILL:
		return engineapi.RolePrefill
	case pb.EngineRole_ENGINE_ROLE_DECODE:
		return engineapi.RoleDecode
	case pb.EngineRole_ENGINE_ROLE_MIXED:
		return engineapi.RoleMixed
	default:
		return ""
	}
}

// RoleProto is Role the other way; an unknown role is unspecified.
func RoleProto(role engineapi.Role) pb.EngineRole {
	switch role {
	case engineapi.RolePrefill:
		return pb.EngineRole_ENGINE_ROLE_PREFILL
	case engineapi.RoleDecode:
		return pb.EngineRole_ENGINE_ROLE_DECODE
	case engineapi.RoleMixed:
		return pb.EngineRole_ENGINE_ROLE_MIXED
	default:
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	}
}

// StateProto gives a server's own state; all that is neither leaving nor
// changing serves.
func StateProto(state engineapi.State) pb.ServerState {
	switch state {
	case engineapi.StateLeaving:
		return pb.ServerState_SERVER_STATE_LEAVING
	case engineapi.StateChanging:
		return pb.ServerState_SERVER_STATE_CHANGING
	default:
		return pb.ServerState_SERVER_STATE_SERVING
	}
}

// Token gives a fencing token.
func Token(t *pb.FencingToken) engineapi.FencingToken {
	return engineapi.FencingToken{Term: t.GetTerm(), Sequence: t.GetSequence()}
}

// TokenProto is Token the other way.
func TokenProto(t engineapi.FencingToken) *pb.FencingToken {
	return &pb.FencingToken{Term: t.Term, Sequence: t.Sequence}
}
