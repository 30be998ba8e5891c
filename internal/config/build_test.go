package config_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
)

// filesFrom returns files from pairs of name and content.
func filesFrom(pairs ...string) []config.File {
	var files []config.File
	for i := 0; i < len(pairs); i += 2 {
		files = append(files, config.File{Name: pairs[i], Data: []byte(pairs[i+1])})
	}
	return files
}

// baseFolder returns a folder that Build accepts, with extra files added.
func baseFolder(extra ...string) []config.File {
	return filesFrom(append([]string{
		"10-services.json", `{"services":{"status":{"slots":10,"connections":120}}}`,
		"20-routes.json", `{"routes":{"lookup":{"match":{"pathPrefix":"/status"},"service":"status"}}}`,
		"30-places.json", `{"dataCentres":{"esbjerg":{"region":"denmark-west"}}}`,
	}, extra...)...)
}

func problemLines(report *config.Report) []string {
	var lines []string
	for _, p := range report.Problems {
		p.Hint = ""
		lines = append(lines, p.String())
	}
	return lines
}

var _ = DescribeTable("Build rejects a folder and reports every problem",
	func(files []config.File, want ...string) {
		snapshot, report := config.Build(1, files)
		Expect(problemLines(report)).To(Equal(want))
		Expect(snapshot).To(BeNil())
	},
	Entry("no files", nil, "no configuration files"),
	Entry("too many bytes", baseFolder("90.json", strings.Repeat(" ", config.MaxTotalBytes)+"{}"), "1000184 bytes in all, over the limit of 1000000"),
	Entry("several problems in several files", baseFolder(
		"40-a.json", `{"services":{"status":{"slots":10,"slots":11}}}`,
		"41-b.json", "{\n  \"routes\": [}",
		"42-c.json", `{"services":{"status":{"conections":null}}}`,
		"43-D.json", `{"callers":{"crew":{"weight":0}}}`,
	),
		"40-a.json: /services/status/slots: duplicate key",
		"41-b.json: not JSON at line 2, column 14: invalid character '}' looking for beginning of value",
		"42-c.json: /services/status/conections: unknown field",
		"43-D.json: bad file name",
		"43-D.json: /callers/crew/weight: 0 is not in 1 to 100"),
	Entry("unreadable files", filesFrom(
		"a.json", "\xef\xbb\xbf{}",
		"b.json", "{\"epoch\"\xff: 1}",
		"c.json", "{} {}",
		"d.json", "[]",
		"e.json", "",
		"f.json", strings.Repeat(`{"a":`, 17)+"1"+strings.Repeat("}", 17),
		"g.json", "{}", "g.json", "{}",
	),
		"a.json: starts with a byte order mark",
		"b.json: not UTF-8 at line 1, column 9",
		"c.json: not JSON at line 1, column 4: invalid character '{' after top-level value",
		"d.json: the top level is not an object",
		"e.json: not JSON at line 1, column 1: unexpected end of JSON input",
		"f.json: "+strings.Repeat("/a", 16)+": nested deeper than 16 levels",
		"g.json: two files have this name"),
	Entry("values of wrong types, each reported once", baseFolder("40.json", `{"epoch":-1,"hosts":[],"callers":{"crew":7},"routes":{"lookup":{
		"timeout":5,"retries":1.5,"idempotent":"yes","priority":null,"match":{"methods":["GET",null],"headers":{"X-A":{}}}}}}`),
		"40.json: /callers/crew: 7 is not an object",
		"40.json: /epoch: -1 is not a whole number of 0 or more",
		"40.json: /hosts: [] is not an object",
		`40.json: /routes/lookup/idempotent: "yes" is not true or false`,
		"40.json: /routes/lookup/match/headers/X-A: {} is not a string",
		"40.json: /routes/lookup/match/methods/1: null is not a string",
		"40.json: /routes/lookup/retries: 1.5 is not a whole number",
		`40.json: /routes/lookup/timeout: 5 is not a duration such as "2s" or "150ms"`),
	Entry("service limits", baseFolder("40.json", `{"services":{
		"Bad":{"slots":1,"connections":1},
		"bare":{},
		"low":{"slots":0,"connections":0,"coldLimit":0,"queueLimit":0,"warmAfter":0,"resendWindow":"0s"},
		"off":{"slots":4,"connections":3,"coldLimit":5,"resendWindow":"11m"}}}`),
		`40.json: /services/Bad: bad name "Bad"`,
		"40.json: /services/bare/connections: required, but not set by any file",
		"40.json: /services/bare/slots: required, but not set by any file",
		"40.json: /services/low/coldLimit: 0 is not in 1 to 10000",
		"40.json: /services/low/connections: 0 is not in 1 to 65535",
		"40.json: /services/low/queueLimit: 0 is not in 1 to 100000",
		"40.json: /services/low/resendWindow: 0s is not in 1s to 10m0s",
		"40.json: /services/low/slots: 0 is not in 1 to 10000",
		"40.json: /services/low/warmAfter: 0 is not in 1 to 1000000",
		"40.json: /services/off/coldLimit: 5 is over the 4 slots",
		"40.json: /services/off/connections: 3 is under the 4 slots",
		"40.json: /services/off/resendWindow: 11m0s is not in 1s to 10m0s"),
	Entry("route values", baseFolder("40.json", `{"routes":{"r":{"service":"status","idempotent":true,"timeout":"0s","key":"required","priority":"","retries":6,
		"match":{"methods":["get","GET","GET"],"host":"Kaj:80","path":"/a","pathPrefix":"/a","headers":{"x-boat":"1","Host":"a","X-C":" "}}}}}`),
		`40.json: /routes/r/key: the route is idempotent, so key "required" has no effect`,
		"40.json: /routes/r/match/headers/Host: Host is not matched as a header",
		`40.json: /routes/r/match/headers/X-C: bad header value " "`,
		"40.json: /routes/r/match/headers/x-boat: the header name is not in canonical form",
		`40.json: /routes/r/match/host: bad host name "Kaj:80"`,
		`40.json: /routes/r/match/methods/0: unknown value "get"`,
		`40.json: /routes/r/match/methods/2: "GET" stands twice`,
		"40.json: /routes/r/match/pathPrefix: path and pathPrefix are both set",
		`40.json: /routes/r/priority: unknown value ""`,
		"40.json: /routes/r/retries: 6 is not in 0 to 5",
		"40.json: /routes/r/timeout: 0s is not in 1ms to 10m0s"),
	Entry("paths", baseFolder("40.json", `{"routes":{
		"a":{"service":"status","match":{"path":"//"}}, "b":{"service":"status","match":{"pathPrefix":"/b/"}},
		"c":{"service":"status","match":{"path":"c"}},  "d":{"service":"status","match":{"path":"/d?x=1"}},
		"e":{"service":"status","match":{}},            "f":{"service":"status","match":{"path":"/f/../g"}},
		"g":{"service":"status"},                       "h":{"service":"status","match":{"path":"/h/"}}}}`),
		`40.json: /routes/a/match/path: "//" is not in its shortest form`,
		`40.json: /routes/b/match/pathPrefix: "/b/" is not in its shortest form`,
		`40.json: /routes/c/match/path: bad path "c"`,
		`40.json: /routes/d/match/path: bad path "/d?x=1"`,
		"40.json: /routes/e/match: neither path nor pathPrefix is set",
		`40.json: /routes/f/match/path: "/f/../g" is not in its shortest form`,
		"40.json: /routes/g/match: required, but not set by any file"),
	Entry("two routes for the same requests", baseFolder("40.json", `{"routes":{
		"all":{"service":"status","match":{"pathPrefix":"/status"}},
		"get":{"service":"status","match":{"pathPrefix":"/status","methods":["GET","HEAD"]}},
		"put":{"service":"status","match":{"pathPrefix":"/status","methods":["PUT","HEAD"]}},
		"own":{"service":"status","match":{"pathPrefix":"/status","headers":{"X-A":"b"}}}}}`),
		`20-routes.json: /routes/lookup/match: takes the same requests as route "all"`,
		`40.json: /routes/put/match: takes the same requests as route "get"`),
	Entry("a removed service, attributed to the file that routes to it", baseFolder("90.json", `{"services":{"status":null}}`),
		`20-routes.json: /routes/lookup/service: service "status" is removed by 90.json`),
	Entry("a removed field, attributed to the file that removed it", baseFolder("90.json", `{"services":{"status":{"slots":null}}}`),
		"90.json: /services/status/slots: required, but removed by 90.json"),
	Entry("marks of a data centre and a host with bad names", baseFolder("90.json", `{"dataCentres":{"esbjrg":{"leaving":true}},"hosts":{"a b":{"leaving":true}}}`),
		"90.json: /dataCentres/esbjrg/region: required, but not set by any file",
		"90.json: /hosts/a b: bad host name"),
)

var _ = Describe("Build", func() {
	It("applies every default", func() {
		snapshot, report := config.Build(1, baseFolder("40.json", `{"callers":{"crew":{}}}`))
		Expect(report.Problems).To(BeEmpty())
		retries := 2
		Expect(snapshot.Document.Services["status"]).To(Equal(config.Service{
			Slots: 10, Connections: 120, ColdLimit: 1, QueueLimit: 20, WarmAfter: 200,
			ResendWindow: config.Duration(20 * time.Second),
		}))
		Expect(snapshot.Document.Routes["lookup"]).To(Equal(config.Route{
			Match: config.Match{PathPrefix: "/status"}, Service: "status", Timeout: config.Duration(10 * time.Second),
			Key: config.KeyOptional, Priority: config.PriorityNormal, Retries: &retries,
		}))
		Expect(snapshot.Document.Callers["crew"].Weight).To(Equal(1))
		Expect(snapshot.Document.Hosts).NotTo(BeNil())
	})

	It("keeps an explicit retries value of 0", func() {
		snapshot, _ := config.Build(1, baseFolder("40.json", `{"routes":{"lookup":{"retries":0}}}`))
		Expect(*snapshot.Document.Routes["lookup"].Retries).To(BeZero())
	})

	It("shares no memory with the caller's files", func() {
		files := baseFolder()
		snapshot, _ := config.Build(1, files)
		files[0].Data[2] = 'X'
		Expect(config.ManifestOf(snapshot.Files).Hash()).To(Equal(snapshot.Hash))
	})
})
