// Kaunti Shamba. Headroom counts most: loads stay below the slots, and regions are far
// apart, so little leaves its own.
let regions = ["nakuru", "eldoret", "meru"];

let positions = service("shamba-locate");
positions.class("repeatable");
positions.deadline(1);

let ledger = service("shamba-ledger");
ledger.class("once_claimed");
ledger.deadline(5);

let logs = service("shamba-logsink");
logs.class("upload");
logs.deadline(1800);

for region in regions {
    positions.load(region, 18);
    ledger.load(region, 12);
    logs.load(region, 10);
}

for desk in [positions, ledger, logs] {
    desk.shift_cap(0.05, 10);
    for home in regions {
        let weights = #{};
        for region in regions {
            weights[region] = if region == home { 48 } else { 1 };
        }
        desk.from(home, weights);
    }
}
