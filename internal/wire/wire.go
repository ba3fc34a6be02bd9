// Package wire converts between the types of the protocol with backend servers
// (package engineapi) and the system's own messages (package pb).
package wire

import (
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Kind converts a backend server's kind. Every kind but plain counts as a model engine.
func Kind(k pb.ServerKind) string {
	if k == pb.ServerKind_SERVER_KIND_PLAIN {
		return engineapi.KindPlain
	}
	return engineapi.KindModel
}

// KindProto is the inverse of Kind.
func KindProto(kind string) pb.ServerKind {
	if kind == engineapi.KindPlain {
		return pb.ServerKind_SERVER_KIND_PLAIN
	}
	return pb.ServerKind_SERVER_KIND_MODEL
}

// Role converts an engine's role. It is empty for plain services.
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

// RoleProto is the inverse of Role. An unknown role becomes unspecified.
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

// StateProto converts the state that a server reports. Every state but leaving
// and changing counts as serving.
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

// Token converts a fencing token.
func Token(t *pb.FencingToken) engineapi.FencingToken {
	return engineapi.FencingToken{Term: t.GetTerm(), Sequence: t.GetSequence()}
}

// TokenProto is the inverse of Token.
func TokenProto(t engineapi.FencingToken) *pb.FencingToken {
	return &pb.FencingToken{Term: t.Term, Sequence: t.Sequence}
}
