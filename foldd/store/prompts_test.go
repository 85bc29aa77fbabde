package store_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"fuchsiafold.example/fold/poison"
	"fuchsiafold.example/foldd/store"
)

func TestPromptFile(t *testing.T) {
	now := time.Unix(1000, 0).UTC()
	saved := poison.Update{Sound: []string{"a"}, Losses: []poison.Loss{
		{Parts: []string{"a", "b"}, Crash: poison.Crash{Backend: "e", Epoch: 7}, Begun: true, Cleared: 1, Age: time.Second},
		{Parts: []string{"b"}, Crash: poison.Crash{Backend: "f"}, Age: 3 * time.Second},
	}}
	aged := func(by time.Duration) poison.Update {
		u := poison.Update{Sound: saved.Sound, Losses: append([]poison.Loss(nil), saved.Losses...)}
		for i := range u.Losses {
			u.Losses[i].Age += by
		}
		return u
	}
	tests := []struct {
		name   string
		loadAt time.Time
		want   poison.Update
	}{
		{"at once", now, saved},
		{"a minute later", now.Add(time.Minute), aged(time.Minute)},
		{"clock set back", now.Add(-time.Hour), aged(-time.Second)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := store.PromptFile{Folder: filepath.Join(t.TempDir(), "data")}
			if err := f.Save(now, saved); err != nil {
				t.Fatal(err)
			}
			if got, err := f.Load(tt.loadAt); err != nil || !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %+v, error %v; want %+v", got, err, tt.want)
			}
		})
	}
}

func TestPromptFileAbsentOrDamaged(t *testing.T) {
	f := store.PromptFile{Folder: t.TempDir()}
	if u, err := f.Load(time.Now()); err != nil || len(u.Losses) != 0 {
		t.Errorf("absent: got %+v, error %v; want nothing", u, err)
	}
	if err := os.WriteFile(filepath.Join(f.Folder, "prompts.json"), []byte(`{"losses":`), 0o600); err != nil {
		t.Fatal(err)
	}
	if u, err := f.Load(time.Now()); err == nil || len(u.Losses) != 0 {
		t.Errorf("damaged: got %+v, error %v; want an error", u, err)
	}
}
