package sidecar

import (
	"io"

	"github.com/cespare/xxhash/v2"

	"boragefall/internal/contract"
	"boragefall/internal/intake"
	"boragefall/internal/mesh"
)

// requestFingerprint identifies a request without its body, also when it is sent again
// under another ID.
func requestFingerprint(r *contract.Request, workspace *mesh.Workspace) uint64 {
	digest := xxhash.New()
	parts := []string{r.Origin, r.Method, r.Host, r.URI}
	if workspace != nil {
		parts = append(parts, workspace.Name)
	}
	for _, part := range parts {
		_, _ = digest.WriteString(part) // hashing never fails
		_, _ = digest.Write([]byte{0})  // hashing never fails
	}
	return digest.Sum64()
}

// fingerprint identifies a request that is sent again under another ID. It leaves out a
// body that is not buffered whole.
func fingerprint(r *contract.Request, workspace *mesh.Workspace, body *intake.Body) uint64 {
	withoutBody := requestFingerprint(r, workspace)
	if !body.CanOpen() || body.Size() == 0 {
		return withoutBody
	}
	digest := xxhash.NewWithSeed(withoutBody)
	_, _ = io.Copy(digest, body.Reader()) // reading memory and hashing never fail
	return digest.Sum64()
}
