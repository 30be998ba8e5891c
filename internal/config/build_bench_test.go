package config_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"boragefall/internal/config"
)

// BenchmarkBuildExample measures Build on the Fyrnet example.
func BenchmarkBuildExample(b *testing.B) {
	files, err := config.ReadFolder(filepath.Join("..", "..", "examples", "fyrnet"))
	if err != nil {
		b.Fatal(err)
	}
	benchmarkBuild(b, files)
}

// BenchmarkBuildLarge measures Build on a folder of half a megabyte with many routes
// and leaving marks of many hosts.
func BenchmarkBuildLarge(b *testing.B) {
	const routes, hosts = 3000, 8000
	var r, h strings.Builder
	for i := range routes {
		fmt.Fprintf(&r, `,"r%d":{"match":{"pathPrefix":"/p%d","methods":["GET"]},"service":"status","timeout":"2s","idempotent":true}`, i, i)
	}
	for i := range hosts {
		fmt.Fprintf(&h, `,"host-%d.example":{"leaving":true}`, i)
	}
	files := baseFolder("40-routes.json", `{"routes":{`+r.String()[1:]+`}}`, "50-hosts.json", `{"hosts":{`+h.String()[1:]+`}}`)
	benchmarkBuild(b, files)
}

func benchmarkBuild(b *testing.B, files []config.File) {
	size := 0
	for _, f := range files {
		size += len(f.Data)
	}
	b.SetBytes(int64(size))
	for b.Loop() {
		if _, report := config.Build(1, files); !report.OK() {
			b.Fatal(report)
		}
	}
}
