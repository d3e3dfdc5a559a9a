package ctl

import (
	"bytes"
	"encoding/json"
	"testing"

	"gopkg.in/yaml.v3"
)

// Guards against a file of resources that is read in part, or in another order than they refer to each other.
func FuzzReadResources(f *testing.F) {
	for _, text := range []string{
		"", "---\n---\n", resourceText, "kind: organisations\nname: o\nspec: {}\nmore: 1\n", "kind: x\nname: o\nspec: {}\n", "kind: organisations\nname: o\n", "kind: organisations\nname: o\nspec: {1: 2}\n",
		"kind: organisations\nname: o\nspec: &a {b: *a}\n", "kind: organisations\nname: o\nspec: {a: .nan}\n", "kind: organisations\nname: o\nspec: !!binary eA==\n", "a: &a [x,x]\nb: &b [*a,*a]\n", "kind: [", "\x00",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := readResources(bytes.NewReader(text))
		if err != nil {
			if list != nil {
				t.Fatalf("%q: %+v with %v", text, list, err)
			}
			return
		}
		var documents bytes.Buffer
		for i, r := range list {
			if r.Name == "" || !json.Valid(r.Spec) || kindOrder(r.Kind) < 0 || (i > 0 && kindOrder(r.Kind) < kindOrder(list[i-1].Kind)) {
				t.Fatalf("%q: %+v", text, list)
			}
			var spec any
			if err := json.Unmarshal(r.Spec, &spec); err != nil {
				t.Fatal(err)
			}
			raw, err := yaml.Marshal(map[string]any{"kind": string(r.Kind), "name": r.Name, "resourceVersion": r.ResourceVersion, "spec": spec})
			if err != nil {
				t.Fatal(err)
			}
			documents.WriteString("---\n")
			documents.Write(raw)
		}
		again, err := readResources(&documents)
		if err != nil || len(again) != len(list) {
			t.Fatalf("%q: %+v; encoded and read again: %+v, %v", text, list, again, err)
		}
		for i := range again {
			if again[i].Kind != list[i].Kind || again[i].Name != list[i].Name || again[i].ResourceVersion != list[i].ResourceVersion {
				t.Fatalf("%+v; encoded and read again: %+v", list[i], again[i])
			}
		}
	})
}
