package declaration

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashCredential returns the hex SHA-256 of a bearer token, the form in which a declaration holds
// it.
func HashCredential(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
