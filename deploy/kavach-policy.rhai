// Kavach. Drain time counts most: small steps, long deadlines for uploads.
let regions = ["guj-west", "mah-north", "raj-south"];

let rates = service("rate-desk");
rates.class("repeatable");
rates.deadline(2);

let orders = service("order-book");
orders.class("once_claimed");
orders.deadline(5);

let drawings = service("cad-intake");
drawings.class("upload");
drawings.deadline(900);

for region in regions {
    rates.load(region, 20);
    orders.load(region, 12);
    drawings.load(region, 12);
}

for desk in [rates, orders, drawings] {
    desk.shift_cap(0.1, 10);
    for home in regions {
        let weights = #{};
        for region in regions {
            weights[region] = if region == home { 18 } else { 1 };
        }
        desk.from(home, weights);
    }
}
