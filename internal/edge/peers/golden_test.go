package peers

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/evacuation"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/golden"
)

// TestEncodedBytesStay compares the encoding of each message or stored record with bytes under
// testdata that an earlier release wrote, and decodes those bytes.
func TestEncodedBytesStay(t *testing.T) {
	golden.Check(t, "heartbeat.cbor", cbor.Marshal, cbor.Unmarshal, heartbeat{
		ControlAddr:   "s2",
		DataCentre:    "s3",
		Kind:          1,
		ConfigVersion: 5,
		ListVersion:   6,
		ListEdits:     7,
		ViewAgeMs:     8,
		Loads:         map[routing.ServerKey][3]int64{10: [3]int64{12, 13, 14}},
		Rates:         map[string][2]int64{"s16": [2]int64{18, 19}},
		Known: []knownRouter{knownRouter{
			Addr:       "s22",
			DataCentre: "s23",
			AgeMs:      24,
			Cores:      25.5,
		}},
		Cores:       26.5,
		FollowedMs:  27,
		Sent:        pick.SentParts{29: []uint32{31}},
		Suspects:    map[routing.ServerKey]int{33: 34},
		FirstTokens: map[string][5]float32{"s36": [5]float32{38.5, 39.5, 40.5, 41.5, 42.5}},
		Crashes: []contentCrashes{contentCrashes{
			Content:        45,
			Crashes:        []serverCrash{serverCrash{Server: 48, RanMs: 49, AgeMs: 50}},
			SucceededAgeMs: 51,
			Stored:         true,
		}},
		ListEra:     53,
		EvacVersion: 54,
		EvacEra:     55,
		Evacuated:   []string{"s57"},
		EvacKept:    map[string]int64{"s59": 60},
		EvacEnded:   map[string]int64{"s62": 63},
		Unreached:   map[routing.ServerKey]int{65: 66},
		Protocol:    67,
		FleetSize:   68,
		Digests:     map[string]spread.Digest{"s70": spread.Digest{Routers: 72, Sum: 73}},
		Joined: []knownRouter{knownRouter{
			Addr:       "s76",
			DataCentre: "s77",
			AgeMs:      78,
			Cores:      79.5,
		}},
		Left: []knownRouter{knownRouter{
			Addr:       "s82",
			DataCentre: "s83",
			AgeMs:      84,
			Cores:      85.5,
		}},
		Changes: cbor.RawMessage{0x18, 110},
		Joining: true,
		Answer:  true,
		Sources: []string{"s90"},
		Light:   map[string]int{"s92": 93},
		Rollouts: []wireRollout{wireRollout{
			Service:    "s96",
			To:         "s97",
			DurationMs: 98,
			Era:        99,
			Version:    100,
			Phase:      1,
			BeganMs:    102,
			Why:        "s103",
			AgeMs:      104,
		}},
		Evidence: []wireSample{wireSample{
			Service:  "s107",
			To:       "s108",
			Route:    "s109",
			New:      true,
			Answers:  111,
			Failures: 112,
			First:    map[uint8]uint32{15: 115},
			Pace:     map[uint8]uint32{18: 118},
		}},
		RemoteEvidence: []wireSample{wireSample{
			Service:  "s121",
			To:       "s122",
			Route:    "s123",
			New:      true,
			Answers:  125,
			Failures: 126,
			First:    map[uint8]uint32{29: 129},
			Pace:     map[uint8]uint32{32: 132},
		}},
	})
	golden.Check(t, "join-view.cbor", cbor.Marshal, cbor.Unmarshal, joinView{
		Raw:     []byte{35, 2, 3},
		List:    cbor.RawMessage{0x18, 59},
		AgeMs:   136,
		Routers: []memberList{memberList{DataCentre: "s139", Routers: []listedRouter{listedRouter{Addr: []byte{43, 2, 3}, Cores: 143.5}}}},
		Crashes: []contentCrashes{contentCrashes{
			Content:        146,
			Crashes:        []serverCrash{serverCrash{Server: 149, RanMs: 150, AgeMs: 151}},
			SucceededAgeMs: 152,
			Stored:         true,
		}},
		AllCrashes:       true,
		Evacuations:      evacuation.Snapshot{Rows: []string{"s157"}, Kept: map[string]time.Duration{"s159": 160 * time.Millisecond}, Ended: map[string]time.Duration{"s162": 163 * time.Millisecond}},
		EvacuationsStamp: roster.Stamp{Era: 165, Version: 166, Edits: 167},
		Rollouts: []wireRollout{wireRollout{
			Service:    "s170",
			To:         "s171",
			DurationMs: 172,
			Era:        173,
			Version:    174,
			Phase:      1,
			BeganMs:    176,
			Why:        "s177",
			AgeMs:      178,
		}},
	})
	golden.Check(t, "list-change.cbor", cbor.Marshal, cbor.Unmarshal, listChange{
		Full: true,
		From: roster.Stamp{Era: 182, Version: 183, Edits: 184},
		To:   roster.Stamp{Era: 186, Version: 187, Edits: 188},
		Servers: serverList{
			Names:    []string{"s191"},
			MinBorn:  192,
			MinEntry: 193,
			Servers: []listedServer{listedServer{
				ID:          "s196",
				Addr:        []byte{98, 2, 3},
				Service:     198,
				DataCentre:  199,
				Slots:       200,
				State:       1,
				WarmupMs:    202,
				BornOffset:  203,
				EntryOffset: 204,
				Version:     205,
			}},
		},
		HeldMs: map[string]int64{"s207": 208},
		Doubtful: serverList{
			Names:    []string{"s211"},
			MinBorn:  212,
			MinEntry: 213,
			Servers: []listedServer{listedServer{
				ID:          "s216",
				Addr:        []byte{18, 2, 3},
				Service:     218,
				DataCentre:  219,
				Slots:       220,
				State:       1,
				WarmupMs:    222,
				BornOffset:  223,
				EntryOffset: 224,
				Version:     225,
			}},
		},
		DoubtfulLeftMs: []int64{227},
		Removed:        []string{"s229"},
		Gaps:           []roster.Gap{roster.Gap{After: roster.Stamp{Era: 233, Version: 234, Edits: 235}, Upto: roster.Stamp{Era: 237, Version: 238, Edits: 239}}},
	})
	golden.Check(t, "member-list.cbor", cbor.Marshal, cbor.Unmarshal, memberList{DataCentre: "s241", Routers: []listedRouter{listedRouter{Addr: []byte{45, 2, 3}, Cores: 245.5}}})
	golden.Check(t, "older-view.cbor", cbor.Marshal, cbor.Unmarshal, olderView{
		Raw:   []byte{48, 2, 3},
		Stamp: roster.Stamp{Era: 249, Version: 250, Edits: 251},
		Snapshot: roster.Snapshot{Servers: []routing.Server{routing.Server{
			ID:           "s255",
			Born:         256,
			Service:      "s257",
			Addr:         "s258",
			DataCentre:   "s259",
			Slots:        260,
			State:        1,
			Warmup:       262 * time.Millisecond,
			EntryVersion: 263,
			Version:      "s264",
		}}, Held: map[string]time.Duration{"s266": 267 * time.Millisecond}, Doubtful: []roster.Doubtful{roster.Doubtful{Server: routing.Server{
			ID:           "s271",
			Born:         272,
			Service:      "s273",
			Addr:         "s274",
			DataCentre:   "s275",
			Slots:        276,
			State:        1,
			Warmup:       278 * time.Millisecond,
			EntryVersion: 279,
			Version:      "s280",
		}, Left: 281 * time.Millisecond}}},
		AgeMs: 282,
		Routers: []knownRouter{knownRouter{
			Addr:       "s285",
			DataCentre: "s286",
			AgeMs:      287,
			Cores:      288.5,
		}},
		Ends: []contentCrashes{contentCrashes{
			Content:        291,
			Crashes:        []serverCrash{serverCrash{Server: 294, RanMs: 295, AgeMs: 296}},
			SucceededAgeMs: 297,
			Stored:         true,
		}},
		Evacuations:   evacuation.Snapshot{Rows: []string{"s301"}, Kept: map[string]time.Duration{"s303": 304 * time.Millisecond}, Ended: map[string]time.Duration{"s306": 307 * time.Millisecond}},
		EvacuationsAs: roster.Stamp{Era: 309, Version: 310, Edits: 311},
		AllEnds:       true,
	})
	golden.Check(t, "older-list.json", json.Marshal, json.Unmarshal, olderList{Stamp: roster.Stamp{Era: 315, Version: 316, Edits: 317}, Snapshot: roster.Snapshot{Servers: []routing.Server{routing.Server{
		ID:           "s321",
		Born:         322,
		Service:      "s323",
		Addr:         "s324",
		DataCentre:   "s325",
		Slots:        326,
		State:        1,
		Warmup:       328 * time.Millisecond,
		EntryVersion: 329,
		Version:      "s330",
	}}, Held: map[string]time.Duration{"s332": 333 * time.Millisecond}, Doubtful: []roster.Doubtful{roster.Doubtful{Server: routing.Server{
		ID:           "s337",
		Born:         338,
		Service:      "s339",
		Addr:         "s340",
		DataCentre:   "s341",
		Slots:        342,
		State:        1,
		Warmup:       344 * time.Millisecond,
		EntryVersion: 345,
		Version:      "s346",
	}, Left: 347 * time.Millisecond}}}})
}
