package ctl

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// keyCommand makes a key for a customer. The key is shown once and kept
// nowhere; its SHA-256 goes into the settings.
type keyCommand struct {
	deferred
}

// newKey is the output in JSON.
type newKey struct {
	Key    string `json:"key"`
	SHA256 string `json:"sha256"`
}

func (c *keyCommand) run(_ context.Context, a *app) error {
	const prefix = "wsk-"
	k := newKey{Key: prefix + rand.Text()}
	sum := sha256.Sum256([]byte(k.Key))
	k.SHA256 = hex.EncodeToString(sum[:])
	return a.show(k, "KEY SHA-256", func(add func(...any)) { add(k.Key, k.SHA256) })
}
