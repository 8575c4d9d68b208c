package saddleannounce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// HTTP paths that an agent serves to its targets.
const (
	PathAnnounce = "/v1/announce"
	PathLeave    = "/v1/leave"
)

// Send sends an announcement to the agent at an address.
func Send(ctx context.Context, client *http.Client, address string, a Announcement) (Reply, error) {
	return post(ctx, client, "http://"+address+PathAnnounce, a)
}

// SendLeave tells the agent at an address that its target accepts no new work.
func SendLeave(ctx context.Context, client *http.Client, address string, l Leave) (Reply, error) {
	return post(ctx, client, "http://"+address+PathLeave, l)
}

func post(ctx context.Context, client *http.Client, url string, body any) (Reply, error) {
	var reply Reply
	data, err := json.Marshal(body)
	if err != nil {
		return reply, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return reply, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return reply, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return reply, fmt.Errorf("decode reply of %s with status %d: %w", url, resp.StatusCode, err)
	}
	return reply, nil
}
