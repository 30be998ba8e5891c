package mesh

import (
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a mesh whose configuration holds numbers out of all proportion", func() {
	// Guards against numbers that size memory, a loop or a wait: a large max_attempts ended each
	// process at each request, large weights held all split routes.
	It("serves all routes, and goes on when the numbers are usual again", func() {
		f := startFleet(GinkgoT().TempDir(), nil)
		f.publish(func(routes []map[string]any) []map[string]any {
			routes[0]["max_attempts"] = 2147483647
			routes[1]["max_attempts"] = json.Number("18446744073709551615")
			routes[1]["priority"] = 1 << 62
			routes[2]["timeout"], routes[2]["target_latency"] = "2562047h", "2562047h"
			split := map[string]any{"traffic_split": []map[string]any{{"service": "status", "weight": 1e18}, {"service": "orders", "weight": 1}}}
			for key, value := range routes[0] {
				if key != "service" {
					split[key] = value
				}
			}
			split["name"], split["prefix"] = "split", "/split/"
			return append(routes, split)
		})
		time.Sleep(configBound)
		serveAll := func(paths ...string) {
			GinkgoHelper()
			for _, m := range f.machines {
				for _, path := range paths {
					c := f.do(m, http.MethodGet, path, nil)
					Expect(c.good()).To(BeTrue(), "%+v\n%s", c, f.logsOf(c.id))
				}
				c := f.do(m, http.MethodPost, "/uploads/a", []byte("upload"))
				Expect(c.good()).To(BeTrue(), "%+v\n%s", c, f.logsOf(c.id))
			}
		}
		serveAll("/status/a", "/orders/a", "/split/a")
		f.publish(nil)
		time.Sleep(configBound)
		serveAll("/status/b", "/orders/b")
	})
})
