package testbed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// probe sends a small request for the service to the entry. It returns "" if the
// entry responds with status 200, else the reason of the failure.
func (b *Bed) probe(ctx context.Context, client *http.Client, address string, s declaration.Service) string {
	req, err := b.probeRequest(ctx, address, s)
	if err != nil {
		return err.Error()
	}
	member := b.Declaration.Members[0].Name
	req.Header.Set("Authorization", "Bearer "+MemberToken(b.options.Deployment, member))
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("%s %s", resp.Status, body)
	}
	return ""
}

func (b *Bed) probeRequest(ctx context.Context, address string, s declaration.Service) (*http.Request, error) {
	if s.Kind == declaration.KindModel {
		body := strings.NewReader(`{"model":"` + s.Name + `","prompt":"ready?","max_tokens":1}`)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", body)
		if err == nil {
			req.Header.Set("Content-Type", "application/json")
		}
		return req, err
	}
	path := ""
	for _, r := range s.Routes {
		if r.Repeat == declaration.RepeatAllowed && r.Method == http.MethodGet {
			path = r.Path
		}
	}
	return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/svc/"+s.Name+path, nil)
}
